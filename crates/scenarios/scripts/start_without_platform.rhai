// An instance that starts while the platform is down gets the configuration from peers; without
// peers it does not become ready.
world(#{ domains: ["a"], nodes: 2 });
run(3000);
platform_down();
kill("a-0");
run(500);
start("a-0");
run(3000);
expect(ready("a-0"), "a-0 got the configuration from a-1");
kill("a-0");
kill("a-1");
run(500);
start("a-0");
run(5000);
expect(!ready("a-0"), "no peer or platform confirms the configuration");
platform_up();
run(3000);
expect(ready("a-0"), "the platform confirmed the configuration");
