//! Settings of a site in the terms of this project, converted from the platform's settings object.

use curlewusher_core::{DeduplicationScope, Idempotency, JobClass, KindId, Settings, TimeSpan, ZoneId};

use crate::error::ReadError;
use crate::wire::{Customer, DEFAULT_CONNECT_TIMEOUT, FamilyInfo, Service, Wire};

/// Upper bound of every duration: a year. A value that stands for "unlimited" must not overflow when a time
/// is computed from it.
const MAX_TIME_SPAN: TimeSpan = TimeSpan::from_secs(365 * 86_400);
/// Lower bound of the maximum poll interval that the platform configures, so that discovery is not polled too
/// often.
const MIN_POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Settings of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the dispatcher.
    pub dispatcher: Settings,
    /// Names of the job classes, by index.
    pub class_names: Vec<String>,
    /// Names of the tenants, by index.
    pub tenant_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the kinds of machine, by index.
    pub kind_names: Vec<String>,
    /// Time after which a connection that is not established counts as refused.
    pub connect_timeout: TimeSpan,
    /// Idle time after which workers close a connection.
    pub keepalive: TimeSpan,
    /// Maximum `Retry-After` that a client follows.
    pub max_retry_after: TimeSpan,
}

impl TryFrom<Wire> for Site {
    type Error = ReadError;

    fn try_from(wire: Wire) -> Result<Self, ReadError> {
        let dispatcher = dispatcher_settings(&wire)?;
        dispatcher.validate().map_err(ReadError::from_dispatcher)?;
        let connect_timeout = match wire.limits.connect_timeout {
            TimeSpan::ZERO => DEFAULT_CONNECT_TIMEOUT,
            given => given.min(MAX_TIME_SPAN),
        };
        Ok(Site {
            dispatcher,
            class_names: wire.services.into_iter().map(|service| service.name).collect(),
            tenant_names: wire.customers.into_iter().map(|customer| customer.name).collect(),
            zone_names: wire.zone_names,
            kind_names: wire.kind_names,
            connect_timeout,
            keepalive: wire.limits.keepalive.min(MAX_TIME_SPAN),
            max_retry_after: wire.limits.max_retry_after.min(MAX_TIME_SPAN),
        })
    }
}

/// Converts the settings of the dispatcher, without validation.
fn dispatcher_settings(wire: &Wire) -> Result<Settings, ReadError> {
    let Wire { limits, prices, rules, family_info, .. } = wire;
    let services = wire.services.iter().enumerate();
    let max_retry_after = if limits.clients_follow_retry_after {
        limits.max_retry_after.min(MAX_TIME_SPAN)
    } else {
        TimeSpan::ZERO
    };
    Ok(Settings {
        nodes: wire.nodes,
        node_index: wire.node_index,
        zone: ZoneId(wire.zone),
        classes: services
            .map(|(index, service)| job_class(index, service, family_info))
            .collect::<Result<_, _>>()?,
        tenant_quotas: wire.customers.iter().map(|Customer { quota_per_s, .. }| *quota_per_s).collect(),
        over_quota_weight: wire.over_quota_weight,
        endpoints_on_request: endpoints_on_request(&wire.discovery_mode)?,
        max_poll_interval: rules.max_poll_interval.clamp(MIN_POLL_INTERVAL, MAX_TIME_SPAN),
        // The node sets this value, because only real connections acknowledge.
        assumed_notified_after: TimeSpan::ZERO,
        // Sizes that change with the load or are the same for all workers do not show the number of slots.
        sizes_listed: matches!(wire.size_meaning.as_str(), "nominal" | "rough"),
        reports_start: family_info.reports_start,
        // The node sets this value, because only real connections time out.
        accept_timeout: TimeSpan::ZERO,
        may_cancel: limits.may_cancel,
        may_hedge: limits.may_hedge,
        may_gossip: limits.may_gossip,
        gossip_price: prices.gossip,
        max_attempts: limits.max_attempts,
        max_retry_after,
        cross_zone_price: prices.cross_zone,
        warm_up_floor: rules.warm_up_floor,
        warm_up: rules.warm_up.min(MAX_TIME_SPAN),
        overload_factor: rules.overload_factor,
        overload_window: rules.overload_window.min(MAX_TIME_SPAN),
    })
}

fn job_class(index: usize, service: &Service, family_info: &FamilyInfo) -> Result<JobClass, ReadError> {
    let family_work_factor = family_info.class_work_factors.get(index).copied();
    let family_kind = family_info.class_kinds.get(index);
    Ok(JobClass {
        idempotency: idempotency(service)?,
        latency_objective: service.latency_objective.min(MAX_TIME_SPAN),
        latency_objective_work_factor: service
            .latency_objective_work_factor
            .or(family_work_factor)
            .unwrap_or(0.0),
        client_timeout: service.client_timeout.min(MAX_TIME_SPAN),
        priority_weight: service.priority_weight,
        required_kind: family_kind.and_then(|kind| u32::try_from(*kind).ok()).map(KindId),
    })
}

/// Converts the idempotency of a service. The scope of keys is validated for every service, even if the
/// service does not use it.
fn idempotency(service: &Service) -> Result<Idempotency, ReadError> {
    let scope = match service.key_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        "all" | "" => DeduplicationScope::All,
        _ => return Err(ReadError::UnknownKeyScope),
    };
    let window = service.deduplication_window.min(MAX_TIME_SPAN);
    match service.idempotency.as_str() {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey { scope, window }),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        _ => Err(ReadError::UnknownIdempotency),
    }
}

/// Returns whether discovery sends the endpoint list only on request.
fn endpoints_on_request(discovery_mode: &str) -> Result<bool, ReadError> {
    match discovery_mode {
        "subscribe" => Ok(true),
        "automatic" => Ok(false),
        _ => Err(ReadError::UnknownDiscoveryMode),
    }
}
