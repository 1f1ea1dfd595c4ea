// An announced engine gets no new work, with the platform down; what runs there is not cut.
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
    expect(outcome(request) == "whole", "nothing is cut: " + outcome(request));
}
// The engine can go: all the work is on the other one.
kill_engine("a-engine-0", 600000);
let after = complete("a-1", #{ timeout: 5000 });
run(3000);
expect(outcome(after) == "whole" && millis(after) < 2000, "after: " + outcome(after));
