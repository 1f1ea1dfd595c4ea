// The order holder loads both models within the weight store's rate. Demand moves engines between
// the models without interrupting a running stream.
for loading in ["checked", "ignored"] {
    world(#{ domains: ["a"], nodes: 3, engines: 4, loading: loading });
    run(20000);
    expect(holder("a") != "", "an instance holds the order lease");
    let advice = 0;
    let review = 0;
    for index in 0..4 {
        if loaded("a-engine-" + index) == "advice" { advice += 1; }
        if loaded("a-engine-" + index) == "review" { review += 1; }
    }
    expect(advice == 1 && review == 1,
        loading + ": one engine for each model: " + advice + ", " + review);
    let first = complete("a-0", #{ model: "advice", timeout: 5000 });
    let second = complete("a-1", #{ model: "review", timeout: 5000 });
    run(3000);
    expect(outcome(first) == "whole", "advice: " + outcome(first));
    expect(outcome(second) == "whole", "review: " + outcome(second));

    // One model is in high demand: it gets the free engines while a long answer of the other
    // model continues.
    let long = complete("a-0", #{ model: "review", answer: 600, token: 50, timeout: 60000 });
    let sent = [];
    for index in 0..90 {
        sent.push(complete("a-" + (index % 3), #{ model: "advice", prompt: 15000, timeout: 20000 }));
        run(200);
    }
    run(15000);
    advice = 0;
    for index in 0..4 {
        if loaded("a-engine-" + index) == "advice" { advice += 1; }
    }
    expect(advice >= 2, loading + ": demand loads the model on more engines: " + advice);
    run(20000);
    expect(outcome(long) == "whole", "long answer: " + outcome(long));
    for request in sent {
        expect(outcome(request) == "whole", "request under load: " + outcome(request));
    }

    // Demand falls: the models are packed onto as few engines as they need.
    run(150000);
    let free = 0;
    for index in 0..4 {
        if loaded("a-engine-" + index) == "" { free += 1; }
    }
    expect(free == 2, loading + ": two engines have no model loaded: " + free);
    expect(cut_by_orders() == 0, "orders interrupt no stream");
    settled();
}
