// Kills or freezes the instance that holds a claim at each of the first 45 milliseconds of its
// call. The outcomes of the call and of two repeats must form one of the rows below, which
// docs/PROOFS.md lists, and every row must be reached.
let in_use = "unfinished:idempotency_key_in_use";
let late = "unfinished:deadline_passed_running";
let free = "not_run:platform_down";
// Outcomes of the first call, of a repeat during the fault and of a repeat afterwards; run count.
let rows = #{
    kill: [
        ["cut", "whole", "replayed", 1],
        ["cut", in_use, in_use, 0],
        ["cut", in_use, in_use, 1],
        ["whole", in_use, in_use, 1],
        ["whole", "replayed", "replayed", 1],
    ],
    freeze: [
        [free, "whole", "replayed", 1],
        [free, in_use, "whole", 1],
        [late, in_use, in_use, 0],
        [late, in_use, in_use, 1],
        ["whole", in_use, "replayed", 1],
        ["whole", "replayed", "replayed", 1],
    ],
};
for fault in ["kill", "freeze"] {
    let reached = [];
    for millis in 0..45 {
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
        let row = [outcome(first), outcome(repeat), outcome(last), runs(key)];
        expect(row in rows[fault], fault + " at " + millis + " ms: " + row);
        if !(row in reached) { reached.push(row); }
        settled();
    }
    expect(reached.len() == rows[fault].len(), fault + " reached " + reached);
}
