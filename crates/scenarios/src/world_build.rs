//! Builds a world's initial state, configuration documents and instance settings from its plan.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use policy::template::{AccountTemplate, ClientAccount, ConfigBody, Repeatability};
use serde_json::{Value, json};
use settings::{EntrySettings, parse_settings};

use crate::engines::EngineState;
use crate::history::History;
use crate::instance::InstanceSlot;
use crate::network::FakeNetwork;
use crate::platform::PlatformState;
use crate::services::ServiceState;
use crate::weights::WeightState;
use crate::world::{
    API_KEY, FakeClockAndIds, MODEL, ModelLoading, SECOND_MODEL, WorldPlan, WorldState,
};

pub(crate) fn build_state(plan: &WorldPlan) -> Rc<WorldState> {
    let mut platform = PlatformState::default();
    for (key, body) in initial_documents() {
        let value = json!({
            "change": key, "author": "", "written_ms": 0, "body": body, "earlier": [],
        });
        platform.put(&key, &value.to_string());
    }
    let mut engines = BTreeMap::new();
    let mut services = BTreeMap::new();
    let mut instances = BTreeMap::new();
    for (number, domain) in plan.domains.iter().enumerate() {
        for index in 0..plan.engines {
            let mut state = EngineState::new(
                &format!("{domain}-engine-{index}"),
                plan.slots,
                plan.memory_tokens,
            );
            state.checks_fencing = plan.loading == ModelLoading::Checked;
            state.is_managed = plan.loading != ModelLoading::Fixed;
            engines.insert(address(number, 1, index), state);
        }
        for index in 0..plan.services {
            let state = ServiceState::new(&format!("{domain}-service-{index}"));
            services.insert(address(number, 2, index), state);
        }
        for index in 0..plan.nodes {
            let name = format!("{domain}-{index}");
            let settings = instance_settings(plan, number, index);
            instances.insert(name.clone(), InstanceSlot::new(&name, domain, settings));
        }
    }
    Rc::new(WorldState {
        network: FakeNetwork::new(plan.seed),
        platform: RefCell::new(platform),
        instances: RefCell::new(instances),
        history: RefCell::new(History::default()),
        weights: RefCell::new(WeightState::default()),
        clock_and_ids: Arc::new(FakeClockAndIds::new()),
        planted: plan.planted,
        engines: RefCell::new(engines),
        services: RefCell::new(services),
    })
}

fn address(domain: usize, kind: u8, index: usize) -> SocketAddr {
    let octet = |number: usize| u8::try_from(number % 250).unwrap_or(0);
    SocketAddr::from(([10, octet(domain), kind, octet(index)], 80))
}

/// The account template that a world starts with and that its operators change.
pub(crate) fn template(output_tokens: u64) -> AccountTemplate {
    AccountTemplate::new(policy::ids::TemplateId::new("parents"))
        .with_model(MODEL)
        .with_model(SECOND_MODEL)
        .with_service("orders", Repeatability::Once)
        .with_output_tokens(output_tokens)
}

fn initial_documents() -> Vec<(String, ConfigBody)> {
    let template = template(64);
    let account = ClientAccount {
        name: policy::ids::AccountId::new("family"),
        key_sha256: caller::ApiKeyDigest::new(API_KEY).as_str().to_owned(),
        template: template.name.clone(),
    };
    vec![
        (
            policy::template::template_key(&template.name),
            ConfigBody::Template(template),
        ),
        (
            policy::template::account_key(&account.name),
            ConfigBody::Account(account),
        ),
    ]
}

fn instance_settings(plan: &WorldPlan, domain: usize, index: usize) -> EntrySettings {
    let engines: Vec<Value> = (0..plan.engines)
        .map(|engine| {
            json!({
                "name": format!("{}-engine-{engine}", plan.domains[domain]),
                "address": address(domain, 1, engine),
                "slots": plan.slots,
                "memory_tokens": plan.memory_tokens,
                "prefill_rate": 100_000,
                "fencing": match plan.loading {
                    ModelLoading::Checked => "checked",
                    ModelLoading::Fixed | ModelLoading::Ignored => "ignored",
                },
            })
        })
        .collect();
    let services: Vec<Value> = (0..plan.services)
        .map(|service| {
            json!({
                "name": format!("{}-service-{service}", plan.domains[domain]),
                "address": address(domain, 2, service),
            })
        })
        .collect();
    let peers = |domain: usize| -> Vec<SocketAddr> {
        (0..plan.nodes)
            .map(|instance| address(domain, 3, instance))
            .collect()
    };
    let other_domains: Vec<Value> = (0..plan.domains.len())
        .filter(|other| *other != domain)
        .map(|other| json!({ "name": plan.domains[other], "peers": peers(other) }))
        .collect();
    let (models, loading) = match plan.loading {
        ModelLoading::Fixed => (vec![MODEL], "fixed"),
        ModelLoading::Checked | ModelLoading::Ignored => (vec![MODEL, SECOND_MODEL], "managed"),
    };
    let settings = json!({
        "instance": format!("{}-{index}", plan.domains[domain]),
        "failure_domain": plan.domains[domain],
        "listen": {
            "callers": address(domain, 4, index),
            "operators": address(domain, 5, index),
            "peers": address(domain, 3, index),
        },
        "peers": peers(domain),
        "other_domains": other_domains,
        "platform": {
            "key_value": address(99, 0, 0),
            "instances": address(99, 0, 1),
            "weights": address(99, 0, 2),
        },
        "pools": [{
            "name": "advice", "models": models, "loading": loading, "engines": engines,
        }],
        "services": [{ "name": "orders", "endpoints": services }],
        "limits": { "long_tokens": 20_000, "lame_duck_ms": 500 },
    });
    parse_settings(&settings.to_string())
        .unwrap_or_else(|error| panic!("invalid generated settings: {error}"))
}
