//! Scenario scripts in rhai.
//!
//! A script calls the functions registered here, which `docs/SCENARIOS.md` describes. The script
//! fails if an `expect(condition, "what is expected")` does not hold.

use std::cell::RefCell;
use std::rc::Rc;

use rhai::{Dynamic, Engine, EvalAltResult, Map};

use crate::clients::PromptPlan;
use crate::world::{MODEL, ModelLoading, World, WorldPlan};

type SharedWorld = Rc<RefCell<Option<World>>>;
type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Runs a script and returns an error if it fails or if its last world violated an invariant.
///
/// # Errors
///
/// The script error, the expectation that did not hold, or the violated invariants.
pub fn run_script(source: &str) -> Result<(), String> {
    let shared: SharedWorld = Rc::new(RefCell::new(None));
    let mut engine = Engine::new();
    engine.set_max_operations(10_000_000);
    register_world(&mut engine, &shared);
    register_faults(&mut engine, &shared);
    register_orders(&mut engine, &shared);
    register_requests(&mut engine, &shared);
    register_operators(&mut engine, &shared);
    engine.run(source).map_err(|error| error.to_string())?;
    let world = shared.borrow();
    let violations = world.as_ref().map_or(&[][..], World::violations);
    if violations.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
    Err(lines.join("; "))
}

fn with_world<T>(shared: &SharedWorld, act: impl FnOnce(&mut World) -> T) -> ScriptResult<T> {
    let mut world = shared.borrow_mut();
    let world = world
        .as_mut()
        .ok_or("no world yet: the script must begin with `world(#{...})`")?;
    Ok(act(world))
}

fn integer_member(map: &Map, name: &str, default: u64) -> ScriptResult<u64> {
    let Some(value) = map.get(name) else {
        return Ok(default);
    };
    let value = value
        .as_int()
        .map_err(|kind| format!("`{name}` is of type {kind}, not an integer"))?;
    u64::try_from(value).map_err(|_| format!("`{name}` must not be negative").into())
}

fn check_member_names(map: &Map, known: &[&str]) -> ScriptResult<()> {
    for name in map.keys() {
        if !known.contains(&name.as_str()) {
            return Err(format!("unknown member `{name}`; allowed are {known:?}").into());
        }
    }
    Ok(())
}

fn register_world(engine: &mut Engine, shared: &SharedWorld) {
    let world = shared.clone();
    engine.register_fn("world", move |map: Map| -> ScriptResult<()> {
        let plan = world_plan(&map)?;
        *world.borrow_mut() = Some(World::new(&plan));
        Ok(())
    });
    let world = shared.clone();
    engine.register_fn("run", move |millis: i64| {
        with_world(&world, |world| {
            world.advance(u64::try_from(millis).unwrap_or(0));
        })
    });
    let world = shared.clone();
    engine.register_fn("settled", move || with_world(&world, World::check_settled));
    engine.register_fn("expect", |holds: bool, what: &str| -> ScriptResult<()> {
        if holds {
            return Ok(());
        }
        Err(format!("expected: {what}").into())
    });
}

fn world_plan(map: &Map) -> ScriptResult<WorldPlan> {
    check_member_names(
        map,
        &[
            "domains", "nodes", "engines", "services", "slots", "memory", "seed", "loading",
        ],
    )?;
    let default = WorldPlan::default();
    let size = |name: &str, default: usize| -> ScriptResult<usize> {
        let value = integer_member(map, name, default as u64)?;
        usize::try_from(value).map_err(|_| format!("`{name}` is too large").into())
    };
    let domains = match map.get("domains") {
        None => default.domains,
        Some(list) => list
            .clone()
            .into_typed_array::<String>()
            .map_err(|kind| format!("`domains` must be an array of strings, but holds {kind}"))?,
    };
    Ok(WorldPlan {
        domains,
        nodes: size("nodes", default.nodes)?,
        engines: size("engines", default.engines)?,
        services: size("services", default.services)?,
        slots: size("slots", default.slots)?,
        memory_tokens: integer_member(map, "memory", default.memory_tokens)?,
        seed: integer_member(map, "seed", default.seed)?,
        loading: world_loading(map)?,
        planted: default.planted,
    })
}

fn world_loading(map: &Map) -> ScriptResult<ModelLoading> {
    match text_member(map, "loading", "fixed").as_str() {
        "fixed" => Ok(ModelLoading::Fixed),
        "checked" => Ok(ModelLoading::Checked),
        "ignored" => Ok(ModelLoading::Ignored),
        other => {
            Err(format!("`loading` is `{other}`; allowed are fixed, checked and ignored").into())
        }
    }
}

fn text_member(map: &Map, name: &str, default: &str) -> String {
    map.get(name)
        .map_or_else(|| default.to_owned(), ToString::to_string)
}

/// Registers a script function with one argument: the name of the subject to act on.
fn register_subject_action(
    engine: &mut Engine,
    shared: &SharedWorld,
    name: &str,
    act: fn(&World, &str),
) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str| {
        with_world(&world, |world| act(world, subject))
    });
}

/// Registers a script function with two arguments: the name of the subject to act on, and a count
/// or a time in milliseconds.
fn register_counted_action(
    engine: &mut Engine,
    shared: &SharedWorld,
    name: &str,
    act: fn(&World, &str, u64),
) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str, count: i64| {
        with_world(&world, |world| {
            act(world, subject, u64::try_from(count).unwrap_or(0));
        })
    });
}

/// Registers a script function without arguments that acts on the world.
fn register_action(engine: &mut Engine, shared: &SharedWorld, name: &str, act: fn(&World)) {
    let world = shared.clone();
    engine.register_fn(name, move || with_world(&world, |world| act(world)));
}

/// Registers a script function that returns a text about a named subject.
fn register_text_query(
    engine: &mut Engine,
    shared: &SharedWorld,
    name: &str,
    read: fn(&World, &str) -> String,
) {
    let world = shared.clone();
    engine.register_fn(name, move |subject: &str| {
        with_world(&world, |world| read(world, subject))
    });
}

/// Registers a script function without arguments that returns a number about the world.
fn register_number_query(
    engine: &mut Engine,
    shared: &SharedWorld,
    name: &str,
    read: fn(&World) -> u64,
) {
    let world = shared.clone();
    engine.register_fn(name, move || {
        with_world(&world, |world| {
            i64::try_from(read(world)).unwrap_or(i64::MAX)
        })
    });
}

fn register_faults(engine: &mut Engine, shared: &SharedWorld) {
    register_subject_action(engine, shared, "start", World::start_instance);
    register_subject_action(engine, shared, "kill", World::kill);
    register_subject_action(engine, shared, "vanish", World::lose_machine);
    register_subject_action(engine, shared, "freeze", World::freeze);
    register_subject_action(engine, shared, "wake", World::resume);
    register_subject_action(engine, shared, "stop", World::stop_instance);
    register_subject_action(engine, shared, "freeze_engine", World::freeze_engine);
    register_subject_action(engine, shared, "wake_engine", World::resume_engine);
    register_subject_action(engine, shared, "silence_engine", World::silence_engine);
    register_subject_action(engine, shared, "cross_frame", World::cross_frame);
    register_subject_action(engine, shared, "lose_call_answer", World::lose_call_answer);
    register_counted_action(engine, shared, "kill_engine", |world, name, down| {
        world.kill_engine(name, down);
    });
    register_counted_action(engine, shared, "stop_service", |world, name, down| {
        world.stop_service(name, down);
    });
    register_counted_action(engine, shared, "truncate_streams", |world, name, count| {
        world.truncate_streams(name, u32::try_from(count).unwrap_or(u32::MAX));
    });
    register_action(engine, shared, "heal", World::heal);
    register_action(engine, shared, "platform_down", |world| {
        world.set_platform_down(true);
    });
    register_action(engine, shared, "platform_up", |world| {
        world.set_platform_down(false);
    });
    let world = shared.clone();
    engine.register_fn("cut", move |one: &str, other: &str| {
        with_world(&world, |world| world.partition(one, other))
    });
    let world = shared.clone();
    engine.register_fn("loss", move |percent: i64| {
        with_world(&world, |world| {
            world.set_loss(u32::try_from(percent).unwrap_or(0));
        })
    });
    let world = shared.clone();
    engine.register_fn("lose_answers", move |count: i64| {
        with_world(&world, |world| {
            world.lose_platform_answers(u32::try_from(count).unwrap_or(0));
        })
    });
}

fn register_orders(engine: &mut Engine, shared: &SharedWorld) {
    register_counted_action(engine, shared, "delay_orders", |world, domain, count| {
        world.delay_orders(domain, u32::try_from(count).unwrap_or(u32::MAX));
    });
    register_text_query(engine, shared, "loaded", World::loaded);
    register_text_query(engine, shared, "holder", World::order_holder);
    register_number_query(engine, shared, "cut_by_orders", |world| {
        world.cut_by_orders() as u64
    });
}

fn register_requests(engine: &mut Engine, shared: &SharedWorld) {
    let world = shared.clone();
    engine.register_fn("complete", move |instance: &str, map: Map| {
        let plan = prompt_plan(&map)?;
        with_world(&world, |world| {
            request_number(world.complete(instance, &plan))
        })
    });
    let world = shared.clone();
    engine.register_fn("fresh_key", move || {
        with_world(&world, |world| world.fresh_key())
    });
    let world = shared.clone();
    engine.register_fn("order", move |instance: &str, key: &str, timeout: i64| {
        let timeout = u64::try_from(timeout).unwrap_or(0);
        with_world(&world, |world| {
            request_number(world.call(instance, key, timeout))
        })
    });
    let world = shared.clone();
    engine.register_fn("outcome", move |number: i64| {
        with_world(&world, |world| {
            let number = usize::try_from(number).unwrap_or(usize::MAX);
            world.request_end(number).text()
        })
    });
    let world = shared.clone();
    engine.register_fn("millis", move |number: i64| {
        with_world(&world, |world| {
            let number = usize::try_from(number).unwrap_or(usize::MAX);
            i64::try_from(world.request_millis(number)).unwrap_or(i64::MAX)
        })
    });
    let world = shared.clone();
    engine.register_fn("runs", move |key: &str| {
        with_world(&world, |world| i64::from(world.run_count(key)))
    });
    register_number_query(engine, shared, "memory", World::used_tokens);
    register_number_query(engine, shared, "crashes", World::engine_crashes);
    register_number_query(engine, shared, "first_attempts", |world| world.attempts().0);
    register_number_query(engine, shared, "retries", |world| world.attempts().1);
}

fn request_number(number: usize) -> Dynamic {
    Dynamic::from_int(i64::try_from(number).unwrap_or(i64::MAX))
}

fn prompt_plan(map: &Map) -> ScriptResult<PromptPlan> {
    check_member_names(
        map,
        &[
            "model", "prompt", "prefill", "answer", "token", "timeout", "name",
        ],
    )?;
    Ok(PromptPlan {
        model: text_member(map, "model", MODEL),
        prompt_tokens: integer_member(map, "prompt", 1_000)?,
        prefill_ms: integer_member(map, "prefill", 10)?,
        answer_tokens: integer_member(map, "answer", 20)?,
        token_ms: integer_member(map, "token", 30)?,
        timeout_ms: integer_member(map, "timeout", 10_000)?,
        content_id: text_member(map, "name", ""),
    })
}

fn register_operators(engine: &mut Engine, shared: &SharedWorld) {
    let world = shared.clone();
    engine.register_fn("set_template", move |instance: &str, tokens: i64| {
        with_world(&world, |world| {
            world.set_template(instance, u64::try_from(tokens).unwrap_or(1));
        })
    });
    register_number_query(engine, shared, "accepted", World::accepted_version);
    register_subject_action(engine, shared, "ask_again", World::recheck_rollout);
    let world = shared.clone();
    engine.register_fn("add_account", move |instance: &str, name: &str| {
        with_world(&world, |world| world.add_account(instance, name))
    });
    let world = shared.clone();
    engine.register_fn("announce", move |instance: &str, subject: &str| {
        with_world(&world, |world| world.announce(instance, subject))
    });
    let world = shared.clone();
    engine.register_fn("ready", move |instance: &str| {
        with_world(&world, |world| world.is_ready(instance))
    });
}
