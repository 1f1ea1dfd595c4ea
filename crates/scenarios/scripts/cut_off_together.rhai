// All network partitions at once: the platform is down, the failure domains are partitioned, one
// instance is isolated, and another one is killed and restarted meanwhile. Every request is served
// that needs no unreachable peer.
world(#{ seed: 5 });
run(3000);
let b = ["b-0", "b-1", "b-2"];
platform_down();
for one in ["a-0", "a-1", "a-2"] {
    for other in b { cut(one, other); }
}
for other in ["a-1", "a-2"] { cut("a-0", other); }
run(1000);
kill("b-2");
set_template("b-0", 90);
run(500);
start("b-2");
run(5000);
let served = [];
for node in ["a-0", "a-1", "a-2", "b-0", "b-1"] {
    served.push(complete(node, #{ timeout: 8000 }));
}
let key = fresh_key();
let first = order("a-0", key, 4000);
let second = order("b-0", key, 4000);
run(8500);
for request in served { expect(outcome(request) == "whole", "served: " + outcome(request)); }
expect(outcome(first) == "not_run:platform_down", "isolated instance: " + outcome(first));
expect(outcome(second) == "not_run:platform_down", "partitioned domains: " + outcome(second));
expect(runs(key) == 0, "a call does not run without a claim");
expect(accepted() == 0, "no change is accepted");
expect(ready("b-2"), "a restarted instance gets its configuration from peers");
announce("b-0", "b-engine-0");
run(3500);
kill_engine("b-engine-0", 3000);
let after = complete("b-1", #{ timeout: 8000 });
run(4000);
expect(outcome(after) == "whole" && millis(after) < 2000, "the announced engine gets no new work");

// The faults end one after the other, the platform outage last.
heal();
run(5000);
let joined = complete("a-0", #{ timeout: 8000 });
run(3000);
expect(outcome(joined) == "whole", "after healing: " + outcome(joined));
platform_up();
run(5000);
let again = order("a-0", key, 4000);
run(4500);
expect(outcome(again) == "whole", "the key can be used: " + outcome(again));
set_template("a-1", 91);
run(6000);
expect(accepted() > 0, "accepted after healing");
run(20000);
settled();
