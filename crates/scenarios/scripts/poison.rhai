// A prompt that crashes every engine crashes at most two of them, whichever instance gets it again.
world(#{ domains: ["a"], engines: 4 });
run(2000);
let others = [];
for index in 0..6 {
    others.push(complete("a-" + (index % 3), #{ answer: 60, token: 50, timeout: 20000 }));
}
run(500);
for round in 0..8 {
    complete("a-" + (round % 3), #{ name: "[[crash]]", timeout: 6000 });
    run(1500);
}
run(20000);
expect(crashes() <= 2, "at most two engines crashed, not " + crashes());
for request in others {
    expect(outcome(request) == "whole", "other requests are resumed, not " + outcome(request));
}
let last = complete("a-1", #{ name: "[[crash]]", timeout: 6000 });
run(500);
expect(outcome(last) == "not_run:quarantined", "the prompt is quarantined, not " + outcome(last));
settled();
