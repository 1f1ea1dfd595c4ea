// Open connections go silent while new ones work: the stream resumes on a new connection.
world(#{ domains: ["a"], engines: 1 });
run(2000);
let request = complete("a-0", #{ answer: 40, token: 50, timeout: 15000 });
run(1000);
silence_engine("a-engine-0");
run(14000);
expect(outcome(request) == "whole", "the answer is complete, not " + outcome(request));
run(5000);
settled();
