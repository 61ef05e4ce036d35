//! Home regions that the document in force sets for a request.

use coltsfootpick_core::home_regions::HomeRegions;
use coltsfootpick_core::names::ClientAccountName;

use crate::blackboard::Blackboard;
use crate::request::CallerRequest;

impl Blackboard {
    /// Lists that the document in force has for the route of a request, for the client account that it was admitted for
    /// and for the one that its key belongs to now.
    pub fn homes_in_force(&self, request: &CallerRequest, account: Option<&ClientAccountName>) -> Vec<HomeRegions> {
        let Some(table) = self.routes() else { return Vec::new() };
        let route = table.route(&request.host, request.path()).map(|route| route.homes.clone());
        let admitted = account.and_then(|name| table.account(name)).map(|account| account.homes.clone());
        let keyed = request.api_key.as_deref().and_then(|key| table.account_of(key));
        let keyed = keyed.map(|account| account.homes.clone());
        [route, admitted, keyed].into_iter().flatten().collect()
    }
}
