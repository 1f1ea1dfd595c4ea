// A call that may not be repeated, with a fault at each step.
world(#{ domains: ["a"], services: 2 });
run(2000);

// Two instances get one key in the same moment.
let key = fresh_key();
let one = order("a-0", key, 3000);
let other = order("a-1", key, 3000);
run(3500);
expect(runs(key) == 1, "it runs once, not " + runs(key));
expect(outcome(one) == "whole" || outcome(other) == "whole", "one caller has the answer");

// The answer to the claim's write is lost.
let key = fresh_key();
lose_answers(1);
let lost = order("a-0", key, 6000);
run(6500);
expect(runs(key) <= 1, "it runs at most once");
let again = order("a-1", key, 3000);
run(3500);
expect(runs(key) <= 1, "a repeat does not run it again, but " + runs(key));

// The platform is down: nothing runs, and the caller hears it at once.
platform_down();
let key = fresh_key();
let refused = order("a-0", key, 10000);
run(1500);
expect(outcome(refused) == "not_run:platform_down", "platform down: " + outcome(refused));
expect(runs(key) == 0, "nothing ran");
platform_up();
run(3000);
let later = order("a-1", key, 3000);
run(3500);
expect(outcome(later) == "whole", "the key is free again: " + outcome(later));

// The answer of the call is lost: it may have run, and is never sent again.
let key = fresh_key();
lose_call_answer("a-service-0");
lose_call_answer("a-service-1");
let unsure = order("a-0", key, 3000);
run(3500);
expect(outcome(unsure) == "unfinished:connection_lost", "lost: " + outcome(unsure));
let repeat = order("a-2", key, 3000);
run(3500);
expect(outcome(repeat) == "unfinished:idempotency_key_in_use", "repeat: " + outcome(repeat));
expect(runs(key) == 1, "it ran once");

// The service is away: nothing was sent, the key is free afterwards.
stop_service("a-service-0", 4000);
stop_service("a-service-1", 4000);
let key = fresh_key();
let away = order("a-0", key, 3000);
run(4500);
expect(outcome(away) == "not_run:no_endpoint", "away: " + outcome(away));
let back = order("a-1", key, 3000);
run(3500);
expect(outcome(back) == "whole", "the key is free again: " + outcome(back));
expect(runs(key) == 1, "it ran once");

// A repeat gets the first answer.
let repeat = order("a-2", key, 3000);
run(1000);
expect(outcome(repeat) == "replayed", "repeat: " + outcome(repeat));
expect(runs(key) == 1, "it ran once");
