// A failure domain is partitioned from the others and from the platform before, during and after a
// change of the template.
world(#{});
run(3000);
for one in ["a-0", "a-1", "a-2"] {
    for other in ["b-0", "b-1", "b-2"] { cut(one, other); }
    cut(one, "platform");
}
set_template("b-0", 100);
run(6000);
expect(accepted() == 0, "the change is pending: domain a is unreachable");
let served = complete("a-0", #{});
run(3000);
expect(outcome(served) == "whole", "the partitioned domain serves requests: " + outcome(served));
heal();
run(8000);
settled();
set_template("a-0", 101);
run(1000);
let before = accepted();
expect(before > 0, "accepted after healing");
for one in ["a-0", "a-1", "a-2"] {
    for other in ["b-0", "b-1", "b-2"] { cut(one, other); }
    cut(one, "platform");
}
run(3000);
kill("a-1");
run(1000);
start("a-1");
run(5000);
expect(ready("a-1"), "a restarted instance gets its configuration from peers");
settled();
heal();
run(5000);
settled();
