// Freezes the order holder at 24 different times until its lease has expired, while its orders
// arrive late. Another instance takes over, and both models end up loaded.
for loading in ["checked", "ignored"] {
    for step in 0..24 {
        world(#{ domains: ["a"], nodes: 3, engines: 3, loading: loading, seed: step + 1 });
        delay_orders("a", 1 + step % 3);
        run(1500 + step * 130);
        let former = holder("a");
        if former == "" { former = "a-0"; }
        freeze(former);
        run(20000);
        expect(holder("a") != former, "the lease of a frozen holder expires");
        wake(former);
        run(15000);
        let advice = 0;
        let review = 0;
        for index in 0..3 {
            if loaded("a-engine-" + index) == "advice" { advice += 1; }
            if loaded("a-engine-" + index) == "review" { review += 1; }
        }
        expect(advice >= 1 && review >= 1,
            loading + " step " + step + ": " + advice + " advice, " + review + " review");
        settled();
    }
}
