// A request that cannot be served is refused at once, long before its deadline.
world(#{ domains: ["a"], engines: 2 });
run(2000);
kill_engine("a-engine-0", 60000);
kill_engine("a-engine-1", 60000);
run(2500);
let refused = complete("a-0", #{ timeout: 30000 });
run(1500);
expect(outcome(refused) == "not_run:no_endpoint" || outcome(refused) == "not_run:overloaded",
    "refused, not " + outcome(refused));
expect(millis(refused) < 1500, "refused at once, not after " + millis(refused) + " ms");
let large = complete("a-0", #{ prompt: 900000, timeout: 30000 });
run(100);
expect(outcome(large) == "not_run:prompt_too_large",
    "no set of engines has enough memory: " + outcome(large));
