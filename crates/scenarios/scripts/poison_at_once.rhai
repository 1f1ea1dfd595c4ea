// All instances receive the same poison prompt at the same time.
world(#{ domains: ["a"], engines: 5 });
run(2000);
for index in 0..6 {
    complete("a-" + (index % 3), #{ name: "[[crash]]", timeout: 6000 });
}
run(15000);
expect(crashes() <= 2, "at most two engines crashed, not " + crashes());
settled();
