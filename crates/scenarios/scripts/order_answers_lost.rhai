// The answers to writes of the order lease are lost, and later the platform is down: an instance
// holds the lease again afterwards, and the loaded models are served meanwhile.
world(#{ domains: ["a"], nodes: 3, engines: 3, loading: "ignored" });
lose_answers(3);
run(40000);
expect(holder("a") != "", "an instance holds the order lease");
platform_down();
run(30000);
let advice = complete("a-0", #{ model: "advice", timeout: 5000 });
let review = complete("a-2", #{ model: "review", timeout: 5000 });
run(4000);
expect(outcome(advice) == "whole", "advice: " + outcome(advice));
expect(outcome(review) == "whole", "review: " + outcome(review));
// A restarted engine has no model loaded, and no instance may send orders while the platform is
// down.
kill_engine("a-engine-0", 2000);
kill_engine("a-engine-1", 2000);
kill_engine("a-engine-2", 2000);
run(10000);
expect(loaded("a-engine-0") + loaded("a-engine-1") + loaded("a-engine-2") == "",
    "no engine gets an order");
let refused = complete("a-0", #{ model: "advice", timeout: 5000 });
run(3000);
expect(outcome(refused) == "not_run:model_loading", "refused: " + outcome(refused));
platform_up();
run(30000);
settled();
