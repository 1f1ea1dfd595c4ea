// A prompt larger than one engine's memory gets all its parts or none, so that concurrent large
// prompts do not deadlock.
world(#{ domains: ["a"], engines: 3, memory: 100000 });
run(2000);
let all = [];
for index in 0..6 {
    all.push(complete("a-" + (index % 3), #{
        prompt: 220000, prefill: 1000, answer: 20, timeout: 60000
    }));
}
let short_one = complete("a-0", #{ timeout: 8000 });
run(45000);
for request in all {
    expect(outcome(request) == "whole", "a split prompt is complete, not " + outcome(request));
}
run(3000);
expect(memory() == 0, "all memory is released");
settled();
