//! Checks that the form alone cannot make.

use std::collections::HashSet;

use crate::form::{EntrySettings, LimitSettings, PoolSettings};
use crate::load::SettingsFault;

/// Checks settings that have the right form.
///
/// # Errors
///
/// Names the first member whose value is impossible.
pub fn check_settings(settings: &EntrySettings) -> Result<(), SettingsFault> {
    check_name("instance", &settings.instance)?;
    check_name("failure_domain", &settings.failure_domain)?;
    check_positive("workers", settings.workers as u64)?;
    check_listen(settings)?;
    check_domains(settings)?;
    let mut names = HashSet::new();
    for (index, pool) in settings.pools.iter().enumerate() {
        check_pool(&format!("pools[{index}]"), pool, &mut names)?;
    }
    for (index, service) in settings.services.iter().enumerate() {
        let path = format!("services[{index}]");
        check_name(&format!("{path}.name"), &service.name)?;
        for (index, endpoint) in service.endpoints.iter().enumerate() {
            let path = format!("{path}.endpoints[{index}].name");
            check_endpoint_name(&path, &endpoint.name, &mut names)?;
        }
    }
    check_limits(&settings.limits)
}

fn check_listen(settings: &EntrySettings) -> Result<(), SettingsFault> {
    let listen = &settings.listen;
    if listen.operators == listen.callers {
        return fault("listen.operators", "another address than listen.callers");
    }
    if listen.peers == listen.callers || listen.peers == listen.operators {
        return fault("listen.peers", "an address of its own");
    }
    Ok(())
}

fn check_domains(settings: &EntrySettings) -> Result<(), SettingsFault> {
    let mut names = HashSet::from([settings.failure_domain.as_str()]);
    for (index, domain) in settings.other_domains.iter().enumerate() {
        let path = format!("other_domains[{index}]");
        check_name(&format!("{path}.name"), &domain.name)?;
        if !names.insert(&domain.name) {
            return fault(&format!("{path}.name"), "a failure domain named once");
        }
        if domain.peers.is_empty() {
            return fault(&format!("{path}.peers"), "at least one address");
        }
    }
    Ok(())
}

fn check_pool(
    path: &str,
    pool: &PoolSettings,
    names: &mut HashSet<String>,
) -> Result<(), SettingsFault> {
    check_name(&format!("{path}.name"), &pool.name)?;
    if pool.models.is_empty() {
        return fault(&format!("{path}.models"), "at least one model");
    }
    for (index, engine) in pool.engines.iter().enumerate() {
        let path = format!("{path}.engines[{index}]");
        check_endpoint_name(&format!("{path}.name"), &engine.name, names)?;
        check_positive(&format!("{path}.slots"), u64::from(engine.slots))?;
        check_positive(&format!("{path}.memory_tokens"), engine.memory_tokens)?;
        check_positive(&format!("{path}.prefill_rate"), engine.prefill_rate)?;
    }
    Ok(())
}

fn check_limits(limits: &LimitSettings) -> Result<(), SettingsFault> {
    check_positive("limits.body_bytes", limits.body_bytes as u64)?;
    check_header_bytes(limits.header_bytes)?;
    check_positive("limits.body_ms", limits.body_ms)?;
    check_positive("limits.default_timeout_ms", limits.default_timeout_ms)?;
    check_positive("limits.connect_ms", limits.connect_ms)?;
    check_positive("limits.silence_ms", limits.silence_ms)?;
    check_positive("limits.claim_window_ms", limits.claim_window_ms)?;
    if limits.largest_timeout_ms < limits.default_timeout_ms {
        return fault(
            "limits.largest_timeout_ms",
            "at least limits.default_timeout_ms",
        );
    }
    if limits.retry_percent > 100 {
        return fault("limits.retry_percent", "a whole number from 0 to 100");
    }
    Ok(())
}

/// Largest head that the HTTP library hands on, in bytes; a larger one it answers itself.
const LARGEST_HEAD: usize = 48 * 1_024;

fn check_header_bytes(bytes: usize) -> Result<(), SettingsFault> {
    if bytes == 0 || bytes > LARGEST_HEAD {
        return fault("limits.header_bytes", "a whole number from 1 to 49152");
    }
    Ok(())
}

fn check_endpoint_name(
    path: &str,
    name: &str,
    names: &mut HashSet<String>,
) -> Result<(), SettingsFault> {
    check_name(path, name)?;
    if !names.insert(name.to_owned()) {
        return fault(path, "an endpoint named once");
    }
    Ok(())
}

fn check_name(path: &str, name: &str) -> Result<(), SettingsFault> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > 128 || !name.bytes().all(is_allowed) {
        return fault(path, "1 to 128 letters, digits, '-', '_' or '.'");
    }
    Ok(())
}

fn check_positive(path: &str, value: u64) -> Result<(), SettingsFault> {
    if value == 0 {
        return fault(path, "a whole number of at least 1");
    }
    Ok(())
}

fn fault(path: &str, expected: &str) -> Result<(), SettingsFault> {
    Err(SettingsFault::new(path, &format!("expected {expected}")))
}
