//! Checks of the settings that their types do not express: ranges, unique names and addresses.

use std::collections::HashSet;

use crate::load::SettingsError;
use crate::schema::{EntrySettings, LimitSettings, PoolSettings};

/// Checks the values of parsed settings.
///
/// # Errors
///
/// Returns an error with the path of the first member whose value is out of range or conflicts with
/// another member, and with what is allowed.
pub fn check_settings(settings: &EntrySettings) -> Result<(), SettingsError> {
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

fn check_listen(settings: &EntrySettings) -> Result<(), SettingsError> {
    let listen = &settings.listen;
    if listen.operators == listen.callers {
        return invalid_value("listen.operators", "an address other than listen.callers");
    }
    if listen.peers == listen.callers || listen.peers == listen.operators {
        return invalid_value(
            "listen.peers",
            "an address other than listen.callers and listen.operators",
        );
    }
    Ok(())
}

fn check_domains(settings: &EntrySettings) -> Result<(), SettingsError> {
    let mut names = HashSet::from([settings.failure_domain.as_str()]);
    for (index, domain) in settings.other_domains.iter().enumerate() {
        let path = format!("other_domains[{index}]");
        check_name(&format!("{path}.name"), &domain.name)?;
        if !names.insert(&domain.name) {
            return invalid_value(
                &format!("{path}.name"),
                "a name that no other failure domain has",
            );
        }
        if domain.peers.is_empty() {
            return invalid_value(&format!("{path}.peers"), "at least one peer address");
        }
    }
    Ok(())
}

fn check_pool(
    path: &str,
    pool: &PoolSettings,
    names: &mut HashSet<String>,
) -> Result<(), SettingsError> {
    check_name(&format!("{path}.name"), &pool.name)?;
    if pool.models.is_empty() {
        return invalid_value(&format!("{path}.models"), "at least one model");
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

fn check_limits(limits: &LimitSettings) -> Result<(), SettingsError> {
    check_positive("limits.body_bytes", limits.body_bytes as u64)?;
    check_header_bytes(limits.header_bytes)?;
    check_time("limits.body_ms", limits.body_ms, 1)?;
    check_time("limits.default_timeout_ms", limits.default_timeout_ms, 1)?;
    check_time("limits.connect_ms", limits.connect_ms, 1)?;
    check_time("limits.silence_ms", limits.silence_ms, 1)?;
    check_time("limits.claim_window_ms", limits.claim_window_ms, 1)?;
    check_time("limits.lame_duck_ms", limits.lame_duck_ms, 0)?;
    check_time("limits.quarantine_ms", limits.quarantine_ms, 0)?;
    if limits.largest_timeout_ms < limits.default_timeout_ms {
        return invalid_value(
            "limits.largest_timeout_ms",
            "a whole number of at least limits.default_timeout_ms",
        );
    }
    check_time("limits.largest_timeout_ms", limits.largest_timeout_ms, 1)?;
    if limits.retry_percent > 100 {
        return invalid_value("limits.retry_percent", "a whole number from 0 to 100");
    }
    Ok(())
}

/// Largest allowed `header_bytes`. The HTTP library answers requests with a larger header section
/// itself, so that they never reach the check of that limit.
const MAX_HEADER_BYTES: usize = 48 * 1_024;

fn check_header_bytes(bytes: usize) -> Result<(), SettingsError> {
    if bytes == 0 || bytes > MAX_HEADER_BYTES {
        return invalid_value("limits.header_bytes", "a whole number from 1 to 49152");
    }
    Ok(())
}

fn check_endpoint_name(
    path: &str,
    name: &str,
    names: &mut HashSet<String>,
) -> Result<(), SettingsError> {
    check_name(path, name)?;
    if !names.insert(name.to_owned()) {
        return invalid_value(path, "a name that no other endpoint has");
    }
    Ok(())
}

fn check_name(path: &str, name: &str) -> Result<(), SettingsError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > 128 || !name.bytes().all(is_allowed) {
        return invalid_value(path, "1 to 128 letters, digits, '-', '_' or '.'");
    }
    Ok(())
}

fn check_positive(path: &str, value: u64) -> Result<(), SettingsError> {
    if value == 0 {
        return invalid_value(path, "a whole number of at least 1");
    }
    Ok(())
}

/// Longest time that a setting may state, in milliseconds: thirty days. Any such time can be added to a
/// clock.
const LONGEST_MILLIS: u64 = 30 * 24 * 60 * 60 * 1_000;

fn check_time(path: &str, millis: u64, shortest: u64) -> Result<(), SettingsError> {
    if (shortest..=LONGEST_MILLIS).contains(&millis) {
        return Ok(());
    }
    let problem = format!("{millis}: expected a whole number from {shortest} to {LONGEST_MILLIS}");
    Err(SettingsError::new(path, &problem))
}

fn invalid_value(path: &str, expected: &str) -> Result<(), SettingsError> {
    Err(SettingsError::new(path, &format!("expected {expected}")))
}
