// An instance is frozen during a change: the change is not accepted while the instance may resume
// with the old version, and the instance confirms the new version before it is ready again.
world(#{});
run(3000);
freeze("a-1");
run(200);
set_template("b-0", 100);
run(1500);
expect(accepted() == 0, "not accepted while a-1 may be alive");
wake("a-1");
run(5000);
expect(ready("a-1"), "a-1 is ready again");
set_template("b-1", 101);
run(3000);
expect(accepted() > 0, "accepted by all instances");
settled();
