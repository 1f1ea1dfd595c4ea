// A start with the platform down takes the state from peers; without peers it is not ready.
world(#{ domains: ["a"], nodes: 2 });
run(3000);
platform_down();
kill("a-0");
run(500);
start("a-0");
run(3000);
expect(ready("a-0"), "a-0 took the state from a-1");
kill("a-0");
kill("a-1");
run(500);
start("a-0");
run(5000);
expect(!ready("a-0"), "nobody can confirm the configuration");
platform_up();
run(3000);
expect(ready("a-0"), "the platform confirmed it");
