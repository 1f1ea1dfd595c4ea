// Crossed, repeated and truncated answers never reach a caller as whole.
world(#{ domains: ["a"], engines: 2 });
run(2000);
let crossed = complete("a-0", #{ answer: 30 });
run(300);
cross_frame("a-engine-0");
cross_frame("a-engine-1");
run(5000);
expect(outcome(crossed) == "whole", "the crossed answer was mended, not " + outcome(crossed));
truncate_streams("a-engine-0", 1);
truncate_streams("a-engine-1", 1);
let truncated = complete("a-1", #{ answer: 30 });
run(8000);
expect(outcome(truncated) == "whole", "the truncated answer was mended, not " + outcome(truncated));
settled();
