// An engine dies in the middle of an answer: the rest comes from another, without gap or repeat.
world(#{ domains: ["a"], engines: 2 });
run(2000);
let first = complete("a-0", #{ answer: 40, token: 50 });
let second = complete("a-1", #{ answer: 40, token: 50 });
run(1000);
kill_engine("a-engine-0", 60000);
run(10000);
expect(outcome(first) == "whole", "the first answer is whole, not " + outcome(first));
expect(outcome(second) == "whole", "the second answer is whole, not " + outcome(second));
settled();
