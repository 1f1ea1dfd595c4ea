// An at-most-once call with a fault at each step.
world(#{ domains: ["a"], services: 2 });
run(2000);

// Two instances receive calls with the same key at the same time.
let key = fresh_key();
let one = order("a-0", key, 3000);
let other = order("a-1", key, 3000);
run(3500);
expect(runs(key) == 1, "the call runs once, not " + runs(key));
expect(outcome(one) == "whole" || outcome(other) == "whole", "one caller gets the answer");

// The answer to the write of the claim is lost.
let key = fresh_key();
lose_answers(1);
let lost = order("a-0", key, 6000);
run(6500);
expect(runs(key) <= 1, "the call runs at most once");
let again = order("a-1", key, 3000);
run(3500);
expect(runs(key) <= 1, "a repeat does not run the call again: " + runs(key));

// The platform is down: the call does not run, and the caller is refused at once.
platform_down();
let key = fresh_key();
let refused = order("a-0", key, 10000);
run(1500);
expect(outcome(refused) == "not_run:platform_down", "platform down: " + outcome(refused));
expect(runs(key) == 0, "the call did not run");
platform_up();
run(3000);
let later = order("a-1", key, 3000);
run(3500);
expect(outcome(later) == "whole", "the key can be used again: " + outcome(later));

// The service's answer is lost: the call may have run and is not sent again.
let key = fresh_key();
lose_call_answer("a-service-0");
lose_call_answer("a-service-1");
let unsure = order("a-0", key, 3000);
run(3500);
expect(outcome(unsure) == "unfinished:connection_lost", "lost: " + outcome(unsure));
let repeat = order("a-2", key, 3000);
run(3500);
expect(outcome(repeat) == "unfinished:idempotency_key_in_use", "repeat: " + outcome(repeat));
expect(runs(key) == 1, "the call ran once");

// The service is down: the call is not sent, and its key can be used again.
stop_service("a-service-0", 4000);
stop_service("a-service-1", 4000);
let key = fresh_key();
let away = order("a-0", key, 3000);
run(4500);
expect(outcome(away) == "not_run:no_endpoint", "service down: " + outcome(away));
let back = order("a-1", key, 3000);
run(3500);
expect(outcome(back) == "whole", "the key can be used again: " + outcome(back));
expect(runs(key) == 1, "the call ran once");

// A repeat gets the answer of the first call.
let repeat = order("a-2", key, 3000);
run(1000);
expect(outcome(repeat) == "replayed", "repeat: " + outcome(repeat));
expect(runs(key) == 1, "the call ran once");
