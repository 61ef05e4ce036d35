//! Regions in which a route or a client account allows its requests to be served.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::names::RegionName;

/// Regions that may serve a request; the default allows every region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions(Option<Arc<BTreeSet<RegionName>>>);

impl HomeRegions {
    /// Allows only the listed regions; an empty list does not restrict the regions.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Allows only the listed regions, and none if the list is empty.
    ///
    /// A list none of whose entries can be read must not allow every region.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Whether every region is allowed.
    pub const fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Whether requests may be served in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.0.as_ref().is_none_or(|regions| regions.contains(region))
    }
}

/// Lists that apply to one request: a region serves it only if all of them allow the region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHomes(Vec<HomeRegions>);

impl RequestHomes {
    /// Combines lists, for example those of a route and a client account.
    pub fn of(lists: impl IntoIterator<Item = HomeRegions>) -> Self {
        Self::default().and(lists)
    }

    /// Adds further lists.
    #[must_use]
    pub fn and(mut self, lists: impl IntoIterator<Item = HomeRegions>) -> Self {
        for list in lists {
            if !list.is_unrestricted() && !self.0.contains(&list) {
                self.0.push(list);
            }
        }
        self
    }

    /// Whether every region is allowed.
    pub const fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the request may be served in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.0.iter().all(|list| list.allows(region))
    }
}
