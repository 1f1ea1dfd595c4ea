// With the platform down, an engine that is announced to leave gets no new work, and its running
// streams are not interrupted.
world(#{ domains: ["a"], engines: 2 });
run(2000);
platform_down();
let running = [];
for index in 0..6 {
    running.push(complete("a-" + (index % 3), #{ answer: 200, token: 50, timeout: 30000 }));
}
run(500);
announce("a-0", "a-engine-0");
run(3000);
for index in 0..6 {
    running.push(complete("a-" + (index % 3), #{ answer: 20, timeout: 30000 }));
}
run(15000);
for request in running {
    expect(outcome(request) == "whole", "no stream is interrupted: " + outcome(request));
}
// The announced engine is empty: killing it affects no request.
kill_engine("a-engine-0", 600000);
let after = complete("a-1", #{ timeout: 5000 });
run(3000);
expect(outcome(after) == "whole" && millis(after) < 2000, "after: " + outcome(after));
