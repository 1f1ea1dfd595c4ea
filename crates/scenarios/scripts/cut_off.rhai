// The four cases of being cut off, singly.
world(#{});
run(3000);

// The platform is down: everything but calls that may not be repeated is served.
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

// A domain is cut from the platform: likewise, in that domain alone.
for one in ["a-0", "a-1", "a-2"] { cut(one, "platform"); }
let here = complete("a-1", #{});
let there_key = fresh_key();
let there = order("b-1", there_key, 5000);
let here_call = order("a-1", fresh_key(), 5000);
run(3500);
expect(outcome(here) == "whole", "domain cut: " + outcome(here));
expect(outcome(there) == "whole", "the other domain: " + outcome(there));
expect(outcome(here_call) == "not_run:platform_down", "domain cut: " + outcome(here_call));
heal();
run(3000);

// Domains are cut from each other: all is served, changes stay pending.
for one in ["a-0", "a-1", "a-2"] {
    for other in ["b-0", "b-1", "b-2"] { cut(one, other); }
}
let one = complete("a-2", #{});
let other_key = fresh_key();
let other = order("b-2", other_key, 5000);
set_template("a-0", 77);
run(6000);
expect(outcome(one) == "whole", "domains apart: " + outcome(one));
expect(outcome(other) == "whole", "domains apart: " + outcome(other));
expect(accepted() == 0, "the change is pending");
heal();
run(8000);

// An instance alone: it serves what its engines allow.
for other in ["a-1", "a-2", "b-0", "b-1", "b-2", "platform"] { cut("a-0", other); }
run(5000);
let alone = complete("a-0", #{ timeout: 8000 });
run(8500);
expect(outcome(alone) == "whole", "alone: " + outcome(alone));
heal();
run(10000);
settled();
