//! Collects the state of servers for [`coltsfootpick_core::server_access`], which decides where a request may be sent.

use std::sync::Arc;

use coltsfootpick_core::home_regions::RequestHomes;
use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{AccountSpec, ColdSpec, Route};
use coltsfootpick_core::server_access::{
    Access, ServerStatus, UNKNOWN_WAIT, access, is_hopeless, retry_delay, rule_summary,
};

use crate::admitted_request::AdmittedRequest;
use crate::metrics::Metrics;
use crate::request::CallerRequest;
use crate::request_admission::MatchedRoute;
use crate::request_handler::RequestHandler;
use crate::retry_share::spread;
use crate::servers::Server;

/// What decides which servers of its service a request may use, besides the state of each server.
#[derive(Debug)]
pub struct AccessRules {
    /// Home regions of the request.
    pub homes: RequestHomes,
    /// Limits of cold servers of the service.
    pub cold: Option<ColdSpec>,
}

fn homes_of(route: &Route, account: Option<&AccountSpec>) -> RequestHomes {
    RequestHomes::of([Some(route.homes.clone()), account.map(|account| account.homes.clone())].into_iter().flatten())
}

impl MatchedRoute {
    /// Home regions by the document that the route was found in.
    pub fn homes(&self) -> RequestHomes {
        homes_of(&self.route, self.account.as_deref())
    }
}

impl AdmittedRequest {
    /// Home regions by the document at the request's admission.
    pub fn homes(&self) -> RequestHomes {
        homes_of(&self.route, self.account.as_deref())
    }
}

impl RequestHandler {
    /// Rules for the next attempt of a request, by the documents at its admission and in force.
    pub fn access_rules(&self, admitted: &AdmittedRequest) -> AccessRules {
        let account = admitted.account.as_ref().map(|account| &account.name);
        let homes = admitted.homes().and(self.board.homes_in_force(&admitted.request, account));
        AccessRules { homes, cold: self.board.cold_spec(&admitted.service) }
    }

    /// Whether a request may be sent to `server` now; `is_unsuitable` tells that it cannot be served there.
    pub fn access_of(&self, rules: &AccessRules, server: &Server, is_unsuitable: bool) -> Access {
        let (board, entry) = (&self.board, &server.entry);
        let open = server.load.lock().open();
        let status = ServerStatus {
            location: &entry.location,
            is_leaving: server.is_leaving(),
            is_evacuated: board.evacuations.lock().is_in_force(&entry.location.zone),
            cold: board.cold_share(entry, rules.cold),
            pause: server.pause_left().unwrap_or_default(),
            limit: board.limit_wait(entry),
            room: board.brittle_room(entry, open),
            is_unsuitable,
        };
        access(&rules.homes, &status)
    }

    fn accesses(&self, rules: &AccessRules, service: &ServiceName) -> Vec<Access> {
        let servers = self.board.servers.of_service(service);
        servers.iter().map(|server| self.access_of(rules, server, false)).collect()
    }

    /// Refusal of a request that found no server, with the time until one takes it.
    pub fn refuse_unserved(&self, admitted: &AdmittedRequest) -> Refusal {
        let rules = self.access_rules(admitted);
        let found = self.accesses(&rules, &admitted.service);
        self.count_exclusions(&found);
        let refusal = self.final_refusal(admitted, &format!("no server takes it{}", rule_summary(&found)));
        match retry_delay(&rules.homes, &found) {
            Some(wait) if refusal.retry_after.is_some() => refusal.retry_after(spread(wait)),
            _ => refusal,
        }
    }

    /// Checks that home regions and evacuations leave the request a server, before it reserves credit.
    ///
    /// # Errors
    ///
    /// Refuses the request if they exclude all servers of its service.
    pub fn check_servers(&self, request: &CallerRequest, matched: &MatchedRoute) -> Result<(), Refusal> {
        let homes = matched.homes();
        // A stream that is taken up may have begun at another service of the route.
        if request.resumed.is_some() || (homes.is_unrestricted() && self.board.evacuations.lock().is_empty()) {
            return Ok(());
        }
        let rules = AccessRules { homes, cold: None };
        let found = self.accesses(&rules, &matched.service);
        if !is_hopeless(&rules.homes, &found) {
            return Ok(());
        }
        self.count_exclusions(&found);
        let detail = format!(
            "route={} service={} version={} reason=\"no server takes it{}\"",
            matched.route.name,
            matched.service,
            matched.table.version(),
            rule_summary(&found)
        );
        Err(Refusal::not_run(Code::NoBackendServer, detail).retry_after(spread(UNKNOWN_WAIT)))
    }

    /// Whether this instance reaches no server in the home regions of a request, though it may reach others.
    pub fn has_lost_homes(&self, admitted: &AdmittedRequest) -> bool {
        let rules = self.access_rules(admitted);
        let servers = self.board.servers.of_service(&admitted.service);
        let is_home = |server: &&Arc<Server>| {
            let is_evacuated = self.board.evacuations.lock().is_in_force(&server.entry.location.zone);
            !server.is_leaving() && !is_evacuated && rules.homes.allows(&server.entry.location.region)
        };
        let mut homes = servers.iter().filter(is_home).peekable();
        !rules.homes.is_unrestricted() && homes.peek().is_some() && homes.all(|server| server.is_unreached())
    }

    /// Whether the home regions of a request exclude this instance, which must not handle it for another one.
    pub fn is_outside_homes(&self, request: &CallerRequest) -> bool {
        let Ok(matched) = self.match_route(request) else { return false };
        !matched.homes().allows(&self.board.instance.location.region)
    }

    fn count_exclusions(&self, found: &[Access]) {
        let mut reasons: Vec<_> =
            found.iter().filter_map(|access| access.exclusion).filter(|reason| reason.is_rule()).collect();
        reasons.sort_unstable();
        reasons.dedup();
        for reason in reasons {
            Metrics::count(&self.board.metrics.servers_excluded, &reason.to_string());
        }
    }
}
