// A request ends by its deadline in every state: queued, connecting, in prefill, and streaming.
world(#{ domains: ["a"], nodes: 2, engines: 1, slots: 1 });
run(2000);
let streaming = complete("a-0", #{ answer: 500, token: 20, timeout: 3000 });
run(100);
let queued = complete("a-1", #{ answer: 5, timeout: 700 });
run(800);
expect(outcome(queued) == "not_run:overloaded" || outcome(queued) == "not_run:deadline_passed",
    "the queued request is refused, not " + outcome(queued));
expect(millis(queued) <= 850,
    "the queued request is refused by its deadline, not after " + millis(queued) + " ms");
run(2500);
expect(outcome(streaming) == "unfinished:deadline_passed_running",
    "the streaming request ends at its deadline, not " + outcome(streaming));
expect(millis(streaming) <= 3100,
    "the streaming request ends by its deadline, not after " + millis(streaming) + " ms");
let reading = complete("a-0", #{ prefill: 5000, timeout: 1000 });
run(1200);
expect(outcome(reading) == "unfinished:deadline_passed_running", "in prefill: " + outcome(reading));
cut("a-0", "a-engine-0");
let connecting = complete("a-0", #{ timeout: 400 });
run(600);
expect(outcome(connecting) != "running", "the connecting request ends by its deadline");
expect(millis(connecting) <= 500, "connecting: " + millis(connecting) + " ms");
heal();
run(5000);
settled();
