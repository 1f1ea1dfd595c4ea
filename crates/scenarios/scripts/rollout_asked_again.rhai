// A failure domain misses a change of the template and, after the partition heals, learns of a
// later change of another document before it has read the platform again. Whenever it is asked, no
// instance reports the template as accepted while another instance lacks it (checked at every
// step).
let a = ["a-0", "a-1", "a-2"];
let b = ["b-0", "b-1", "b-2"];
for offset in 0..12 {
    world(#{ seed: offset + 1 });
    run(3000);
    for one in a {
        for other in b { cut(one, other); }
        cut(one, "platform");
    }
    set_template("b-0", 100);
    run(6000 + offset * 170);
    expect(accepted() == 0, "the change is pending: domain a is unreachable");
    heal();
    add_account("b-0", "neighbours");
    for asked in 0..20 {
        run(20);
        ask_again(a[asked % 3]);
    }
    run(8000);
    ask_again("a-0");
    run(3000);
    expect(accepted() > 0, "accepted after healing");
    settled();
}
