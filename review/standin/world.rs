//! A small deployment: store, runners of two services, and instances.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Fleet, ZONES};
use crate::record::Record;
use crate::runner::{Runner, Seen, Spec};
use crate::store::Store;

pub struct World {
    pub store: Store,
    pub seen: Arc<Seen>,
    pub record: Record,
    pub runners: Vec<Arc<Runner>>,
    pub fleet: Fleet,
}

/// Tenants of a configuration, with what they have paid for.
pub type Tenants<'a> = &'a [(&'a str, u64)];

/// Configuration with one route for each kind of request.
pub fn config(version: u64, tenants: Tenants<'_>) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","path-prefix":"/{name}/","kind":"{kind}","timeout-ms":{timeout},"slo-ms":400,"priority":1,"backend":"{service}","max-attempts":{attempts}{more}}}"#
        )
    };
    let routes = [
        route("plan", "streaming", "model-pool", 15_000, 1, r#","affinity":true"#),
        route("explain", "streaming", "model-pool", 15_000, 2, r#","affinity":true,"resumable":true"#),
        route("apply", "non_idempotent", "migrate-api", 2_000, 1, ""),
        route("read", "idempotent", "migrate-api", 2_000, 2, ""),
    ];
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, prepaid)| format!(r#"{{"name":"{name}","api-keys":["key-{name}"],"prepaid":{prepaid}}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"model-pool","max-conns":360,"health-path":"/healthz","runtime":{{"slots":64,"kv-capacity-tokens":490530,"stride":5}}}},{{"name":"migrate-api","max-conns":96,"health-path":"/healthz"}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

impl World {
    /// Starts everything; `None` if the instances do not become ready.
    pub fn start(size: usize, tenants: Tenants<'_>, record: &Record) -> Option<Self> {
        let (store, seen) = (Store::default(), Arc::new(Seen::default()));
        store.put("keyed.op", "config", &config(1, tenants));
        let mut runners = Vec::new();
        for (service, prefix, count) in [("model-pool", "m", 9), ("migrate-api", "a", 3)] {
            for at in 0..count {
                let zone = ZONES[at % ZONES.len()];
                let name = format!("i-{prefix}{at}");
                let spec = Spec { name: &name, service, version: "v1", zone };
                runners.push(Runner::start(&spec, &store, &seen, record));
            }
        }
        let fleet = Fleet::start(size, &store, record);
        let world = Self { store, seen, record: record.clone(), runners, fleet };
        if !world.fleet.wait_ready() {
            return None;
        }
        record.note("all instances are ready");
        // The instances have to be in touch: nothing was disturbed for `stable-window-ms`.
        std::thread::sleep(Duration::from_secs(4));
        Some(world)
    }

    /// Writes a version of the configuration as the operator does.
    pub fn configure(&self, version: u64, tenants: Tenants<'_>) {
        let names: Vec<&str> = tenants.iter().map(|(name, _)| *name).collect();
        self.record.note(&format!("operator writes version={version} tenants={}", names.join(",")));
        self.store.put("keyed.op", "config", &config(version, tenants));
    }

    /// Runs of the request `id` so far.
    pub fn runs_of(&self, id: &str) -> usize {
        self.seen.runs.lock().unwrap().iter().filter(|(known, _)| known == id).count()
    }

    /// Tokens that `tenant` has got so far.
    pub fn tokens_of(&self, tenant: &str) -> u64 {
        self.seen.tokens.lock().unwrap().get(tenant).copied().unwrap_or(0)
    }
}
