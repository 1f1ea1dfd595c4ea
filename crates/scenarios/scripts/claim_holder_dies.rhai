// The holder of a claim is killed or frozen at one millisecond after the other of its call.
for millis in 0..45 {
    for fault in ["kill", "freeze"] {
        world(#{ domains: ["a"], services: 1 });
        run(2000);
        let key = fresh_key();
        let first = order("a-0", key, 2000);
        run(millis);
        if fault == "kill" { kill("a-0"); } else { freeze("a-0"); }
        let repeat = order("a-1", key, 2000);
        run(3000);
        if fault == "kill" { start("a-0"); } else { wake("a-0"); }
        run(4000);
        let last = order("a-2", key, 2000);
        run(3000);
        expect(runs(key) <= 1, fault + " at " + millis + " ms: it ran " + runs(key) + " times");
        settled();
    }
}
