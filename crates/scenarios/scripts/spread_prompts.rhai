// Prompts beyond one engine's memory take all their parts or none: crossing ones do not deadlock.
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
    expect(outcome(request) == "whole", "a spread prompt is whole, not " + outcome(request));
}
run(3000);
expect(memory() == 0, "all memory is returned");
settled();
