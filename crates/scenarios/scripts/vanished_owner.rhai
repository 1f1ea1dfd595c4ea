// The machine of an instance disappears without closing its connections: the memory of its streams
// is released.
world(#{ domains: ["a"], engines: 2 });
run(2000);
for index in 0..4 {
    complete("a-0", #{ prompt: 10000, answer: 2000, token: 50, timeout: 100000 });
}
run(1000);
expect(memory() > 0, "the engines hold memory");
vanish("a-0");
run(2000);
expect(memory() > 0, "the engines have not detected the dead connections yet");
run(25000);
expect(memory() == 0, "the steward releases the memory, but " + memory() + " tokens");
start("a-0");
run(3000);
settled();
