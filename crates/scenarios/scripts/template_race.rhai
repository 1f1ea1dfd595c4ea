// Operators change the template concurrently, and the answers to some writes are lost: versions do
// not decrease.
world(#{});
run(3000);
for round in 0..10 {
    set_template("a-0", 100 + round);
    set_template("b-2", 200 + round);
    if round % 3 == 0 { lose_answers(1); }
    run(800);
}
run(8000);
expect(accepted() > 2, "changes were accepted");
settled();
