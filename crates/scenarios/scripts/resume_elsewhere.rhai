// An engine crashes in the middle of an answer: another engine generates the rest, without a gap or
// a repetition.
world(#{ domains: ["a"], engines: 2 });
run(2000);
let first = complete("a-0", #{ answer: 40, token: 50 });
let second = complete("a-1", #{ answer: 40, token: 50 });
run(1000);
kill_engine("a-engine-0", 60000);
run(10000);
expect(outcome(first) == "whole", "the first answer is complete, not " + outcome(first));
expect(outcome(second) == "whole", "the second answer is complete, not " + outcome(second));
settled();
