// Frames with another attempt's id and streams that close without an end frame do not corrupt a
// complete answer.
world(#{ domains: ["a"], engines: 2 });
run(2000);
let crossed = complete("a-0", #{ answer: 30 });
run(300);
cross_frame("a-engine-0");
cross_frame("a-engine-1");
run(5000);
expect(outcome(crossed) == "whole",
    "the answer is complete despite frames of another attempt: " + outcome(crossed));
truncate_streams("a-engine-0", 1);
truncate_streams("a-engine-1", 1);
let truncated = complete("a-1", #{ answer: 30 });
run(8000);
expect(outcome(truncated) == "whole",
    "the answer is complete despite a truncated stream: " + outcome(truncated));
settled();
