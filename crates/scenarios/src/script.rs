//! Scenario scripts in rhai.
//!
//! A script gets the functions registered here; `docs/SCENARIOS.md` describes them. It fails by
//! `expect(condition, "what was expected")`.

use std::cell::RefCell;
use std::rc::Rc;

use rhai::{Dynamic, Engine, EvalAltResult, Map};

use crate::clients::PromptPlan;
use crate::world::{MODEL, World, WorldLoading, WorldPlan};

type Shared = Rc<RefCell<Option<World>>>;
type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Runs a script against a world of its own, then checks every invariant.
///
/// # Errors
///
/// The script's error, the expectation that failed, or the invariants that were broken.
pub fn run_script(source: &str) -> Result<(), String> {
    let shared: Shared = Rc::new(RefCell::new(None));
    let mut engine = Engine::new();
    engine.set_max_operations(10_000_000);
    register_world(&mut engine, &shared);
    register_faults(&mut engine, &shared);
    register_orders(&mut engine, &shared);
    register_requests(&mut engine, &shared);
    register_operators(&mut engine, &shared);
    engine.run(source).map_err(|error| error.to_string())?;
    let world = shared.borrow();
    let broken = world.as_ref().map_or(&[][..], World::violations);
    if broken.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = broken.iter().map(ToString::to_string).collect();
    Err(lines.join("; "))
}

fn with<T>(shared: &Shared, act: impl FnOnce(&mut World) -> T) -> ScriptResult<T> {
    let mut world = shared.borrow_mut();
    let world = world
        .as_mut()
        .ok_or("the script must begin with `world(#{...})`")?;
    Ok(act(world))
}

fn number(map: &Map, name: &str, default: u64) -> ScriptResult<u64> {
    let Some(value) = map.get(name) else {
        return Ok(default);
    };
    let value = value
        .as_int()
        .map_err(|kind| format!("`{name}` is {kind}, not a whole number"))?;
    u64::try_from(value).map_err(|_| format!("`{name}` is negative").into())
}

fn check_names(map: &Map, known: &[&str]) -> ScriptResult<()> {
    for name in map.keys() {
        if !known.contains(&name.as_str()) {
            return Err(format!("`{name}` is not one of {known:?}").into());
        }
    }
    Ok(())
}

fn register_world(engine: &mut Engine, shared: &Shared) {
    let world = shared.clone();
    engine.register_fn("world", move |map: Map| -> ScriptResult<()> {
        let plan = world_plan(&map)?;
        *world.borrow_mut() = Some(World::new(&plan));
        Ok(())
    });
    let world = shared.clone();
    engine.register_fn("run", move |millis: i64| {
        with(&world, |world| {
            world.run(u64::try_from(millis).unwrap_or(0));
        })
    });
    let world = shared.clone();
    engine.register_fn("settled", move || with(&world, World::check_settled));
    engine.register_fn("expect", |holds: bool, what: &str| -> ScriptResult<()> {
        if holds {
            return Ok(());
        }
        Err(format!("expected: {what}").into())
    });
}

fn world_plan(map: &Map) -> ScriptResult<WorldPlan> {
    check_names(
        map,
        &[
            "domains", "nodes", "engines", "services", "slots", "memory", "seed", "loading",
        ],
    )?;
    let default = WorldPlan::default();
    let size = |name: &str, default: usize| -> ScriptResult<usize> {
        let value = number(map, name, default as u64)?;
        usize::try_from(value).map_err(|_| format!("`{name}` is too large").into())
    };
    let domains = match map.get("domains") {
        None => default.domains,
        Some(list) => list
            .clone()
            .into_typed_array::<String>()
            .map_err(|kind| format!("`domains` holds {kind}, not text"))?,
    };
    Ok(WorldPlan {
        domains,
        nodes: size("nodes", default.nodes)?,
        engines: size("engines", default.engines)?,
        services: size("services", default.services)?,
        slots: size("slots", default.slots)?,
        memory_tokens: number(map, "memory", default.memory_tokens)?,
        seed: number(map, "seed", default.seed)?,
        loading: world_loading(map)?,
        planted: default.planted,
    })
}

fn world_loading(map: &Map) -> ScriptResult<WorldLoading> {
    match text(map, "loading", "fixed").as_str() {
        "fixed" => Ok(WorldLoading::Fixed),
        "checked" => Ok(WorldLoading::Checked),
        "ignored" => Ok(WorldLoading::Ignored),
        other => Err(format!("`loading` is {other}, not fixed, checked or ignored").into()),
    }
}

fn text(map: &Map, name: &str, default: &str) -> String {
    map.get(name)
        .map_or_else(|| default.to_owned(), ToString::to_string)
}

/// Registers a function that acts on one named thing.
fn register_on(engine: &mut Engine, shared: &Shared, name: &str, act: fn(&World, &str)) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str| {
        with(&world, |world| act(world, subject))
    });
}

/// Registers a function that acts on one named thing by a number of times or milliseconds.
fn register_count_on(engine: &mut Engine, shared: &Shared, name: &str, act: fn(&World, &str, u64)) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str, count: i64| {
        with(&world, |world| {
            act(world, subject, u64::try_from(count).unwrap_or(0));
        })
    });
}

/// Registers a function that acts on the whole world.
fn register_act(engine: &mut Engine, shared: &Shared, name: &str, act: fn(&World)) {
    let world = shared.clone();
    engine.register_fn(name, move || with(&world, |world| act(world)));
}

/// Registers a function that reads a text of one named thing.
fn register_read_of(
    engine: &mut Engine,
    shared: &Shared,
    name: &str,
    read: fn(&World, &str) -> String,
) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str| {
        with(&world, |world| read(world, subject))
    });
}

/// Registers a function that reads a number of the whole world.
fn register_number(engine: &mut Engine, shared: &Shared, name: &str, read: fn(&World) -> u64) {
    let world = shared.clone();
    engine.register_fn(name, move || {
        with(&world, |world| {
            i64::try_from(read(world)).unwrap_or(i64::MAX)
        })
    });
}

fn register_faults(engine: &mut Engine, shared: &Shared) {
    register_on(engine, shared, "start", World::start_node);
    register_on(engine, shared, "kill", World::kill);
    register_on(engine, shared, "vanish", World::vanish);
    register_on(engine, shared, "freeze", World::freeze);
    register_on(engine, shared, "wake", World::wake);
    register_on(engine, shared, "stop", World::stop_node);
    register_on(engine, shared, "freeze_engine", World::freeze_engine);
    register_on(engine, shared, "wake_engine", World::wake_engine);
    register_on(engine, shared, "silence_engine", World::silence_engine);
    register_on(engine, shared, "cross_frame", World::cross_frame);
    register_on(engine, shared, "lose_call_answer", World::lose_call_answer);
    register_count_on(engine, shared, "kill_engine", |world, name, down| {
        world.kill_engine(name, down);
    });
    register_count_on(engine, shared, "stop_service", |world, name, down| {
        world.stop_service(name, down);
    });
    register_count_on(engine, shared, "truncate_streams", |world, name, count| {
        world.truncate_streams(name, u32::try_from(count).unwrap_or(u32::MAX));
    });
    register_act(engine, shared, "heal", World::heal);
    register_act(engine, shared, "platform_down", |world| {
        world.set_platform_down(true);
    });
    register_act(engine, shared, "platform_up", |world| {
        world.set_platform_down(false);
    });
    let world = shared.clone();
    engine.register_fn("cut", move |one: &str, other: &str| {
        with(&world, |world| world.cut(one, other))
    });
    let world = shared.clone();
    engine.register_fn("loss", move |percent: i64| {
        with(&world, |world| {
            world.set_loss(u32::try_from(percent).unwrap_or(0));
        })
    });
    let world = shared.clone();
    engine.register_fn("lose_answers", move |count: i64| {
        with(&world, |world| {
            world.lose_platform_answers(u32::try_from(count).unwrap_or(0));
        })
    });
}

fn register_orders(engine: &mut Engine, shared: &Shared) {
    register_count_on(engine, shared, "delay_orders", |world, domain, count| {
        world.delay_orders(domain, u32::try_from(count).unwrap_or(u32::MAX));
    });
    register_read_of(engine, shared, "loaded", World::loaded);
    register_read_of(engine, shared, "holder", World::order_holder);
    register_number(engine, shared, "cut_by_orders", |world| {
        world.cut_by_orders() as u64
    });
}

fn register_requests(engine: &mut Engine, shared: &Shared) {
    let world = shared.clone();
    engine.register_fn("complete", move |node: &str, map: Map| {
        let plan = prompt_plan(&map)?;
        with(&world, |world| request_number(world.complete(node, &plan)))
    });
    let world = shared.clone();
    engine.register_fn("fresh_key", move || with(&world, |world| world.fresh_key()));
    let world = shared.clone();
    engine.register_fn("order", move |node: &str, key: &str, timeout: i64| {
        let timeout = u64::try_from(timeout).unwrap_or(0);
        with(&world, |world| {
            request_number(world.call(node, key, timeout))
        })
    });
    let world = shared.clone();
    engine.register_fn("outcome", move |number: i64| {
        with(&world, |world| {
            let number = usize::try_from(number).unwrap_or(usize::MAX);
            world.end_of(number).text()
        })
    });
    let world = shared.clone();
    engine.register_fn("millis", move |number: i64| {
        with(&world, |world| {
            let number = usize::try_from(number).unwrap_or(usize::MAX);
            i64::try_from(world.millis_of(number)).unwrap_or(i64::MAX)
        })
    });
    let world = shared.clone();
    engine.register_fn("runs", move |key: &str| {
        with(&world, |world| i64::from(world.runs_of(key)))
    });
    register_number(engine, shared, "memory", World::used_tokens);
    register_number(engine, shared, "crashes", World::engine_crashes);
    register_number(engine, shared, "first_attempts", |world| world.attempts().0);
    register_number(engine, shared, "retries", |world| world.attempts().1);
}

fn request_number(number: usize) -> Dynamic {
    Dynamic::from_int(i64::try_from(number).unwrap_or(i64::MAX))
}

fn prompt_plan(map: &Map) -> ScriptResult<PromptPlan> {
    check_names(
        map,
        &[
            "model", "prompt", "prefill", "answer", "token", "timeout", "name",
        ],
    )?;
    Ok(PromptPlan {
        model: text(map, "model", MODEL),
        prompt_tokens: number(map, "prompt", 1_000)?,
        prefill_ms: number(map, "prefill", 10)?,
        answer_tokens: number(map, "answer", 20)?,
        token_ms: number(map, "token", 30)?,
        timeout_ms: number(map, "timeout", 10_000)?,
        prefix: text(map, "name", ""),
    })
}

fn register_operators(engine: &mut Engine, shared: &Shared) {
    let world = shared.clone();
    engine.register_fn("set_template", move |node: &str, tokens: i64| {
        with(&world, |world| {
            world.set_template(node, u64::try_from(tokens).unwrap_or(1));
        })
    });
    register_number(engine, shared, "accepted", World::accepted_version);
    register_on(engine, shared, "ask_again", World::ask_again);
    let world = shared.clone();
    engine.register_fn("add_account", move |node: &str, name: &str| {
        with(&world, |world| world.add_account(node, name))
    });
    let world = shared.clone();
    engine.register_fn("announce", move |node: &str, subject: &str| {
        with(&world, |world| world.announce(node, subject))
    });
    let world = shared.clone();
    engine.register_fn("ready", move |node: &str| {
        with(&world, |world| world.is_ready(node))
    });
}
