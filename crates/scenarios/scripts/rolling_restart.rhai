// Every instance is restarted in turn under load: no request is interrupted or lost.
world(#{ domains: ["a"], engines: 3, slots: 16 });
run(2000);
let sent = [];
for node in ["a-0", "a-1", "a-2"] {
    for round in 0..10 {
        for target in ["a-0", "a-1", "a-2"] {
            if ready(target) {
                sent.push(complete(target, #{ answer: 30, token: 40, timeout: 20000 }));
            }
        }
        run(100);
        if round == 2 { stop(node); }
    }
    run(9000);
    start(node);
    run(4000);
}
run(10000);
for request in sent {
    expect(outcome(request) == "whole", "an answer was " + outcome(request));
}
expect(sent.len() > 60, "there was enough load: " + sent.len());
settled();
