// The four network partitions, one at a time: platform down, a failure domain without the platform,
// failure domains apart, and an isolated instance.
world(#{});
run(3000);

// The platform is down: all requests except at-most-once calls are served.
platform_down();
run(2000);
let served = complete("a-0", #{});
let key = fresh_key();
let refused = order("a-0", key, 5000);
run(3000);
expect(outcome(served) == "whole", "platform down: " + outcome(served));
expect(outcome(refused) == "not_run:platform_down", "platform down: " + outcome(refused));
platform_up();
run(3000);

// A failure domain is partitioned from the platform: the same holds in that domain only.
for one in ["a-0", "a-1", "a-2"] { cut(one, "platform"); }
let here = complete("a-1", #{});
let there_key = fresh_key();
let there = order("b-1", there_key, 5000);
let here_call = order("a-1", fresh_key(), 5000);
run(3500);
expect(outcome(here) == "whole", "domain without platform: " + outcome(here));
expect(outcome(there) == "whole", "the other domain: " + outcome(there));
expect(outcome(here_call) == "not_run:platform_down",
    "domain without platform: " + outcome(here_call));
heal();
run(3000);

// Failure domains are partitioned from each other: all requests are served, and configuration
// changes stay pending.
for one in ["a-0", "a-1", "a-2"] {
    for other in ["b-0", "b-1", "b-2"] { cut(one, other); }
}
let one = complete("a-2", #{});
let other_key = fresh_key();
let other = order("b-2", other_key, 5000);
set_template("a-0", 77);
run(6000);
expect(outcome(one) == "whole", "partitioned domains: " + outcome(one));
expect(outcome(other) == "whole", "partitioned domains: " + outcome(other));
expect(accepted() == 0, "the change is pending");
heal();
run(8000);

// An instance is partitioned from all peers and the platform: it serves what its engines allow.
for other in ["a-1", "a-2", "b-0", "b-1", "b-2", "platform"] { cut("a-0", other); }
run(5000);
let alone = complete("a-0", #{ timeout: 8000 });
run(8500);
expect(outcome(alone) == "whole", "isolated instance: " + outcome(alone));
heal();
run(10000);
settled();
