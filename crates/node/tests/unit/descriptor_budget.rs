//! Check of the values in the table of the module's documentation.

use curlewusher_control::takeover::DescriptorShare;

use super::{AdminAddress, DescriptorBudget};
use crate::connection_budget::ConnectionBudget;

/// Returns the free connections of a budget while the process is alone, and while its peer runs as well.
fn full_and_halved(budget: &ConnectionBudget) -> (usize, usize) {
    let full = budget.free();
    budget.set_share(DescriptorShare::Half, || {});
    (full, budget.free())
}

#[test]
fn descriptors_are_divided_then_client_and_upstream_budgets_match_the_table() {
    for (descriptors, admin_address, clients, upstream) in [
        (64, AdminAddress::None, (27, 16), (13, 8)),
        (64, AdminAddress::Configured, (16, 16), (8, 8)),
        (256, AdminAddress::None, (139, 60), (69, 30)),
        (256, AdminAddress::Configured, (120, 51), (60, 25)),
        (1024, AdminAddress::None, (651, 316), (325, 158)),
        (1024, AdminAddress::Configured, (632, 307), (316, 153)),
    ] {
        let budget = DescriptorBudget::divide(descriptors, admin_address);
        let case = format!("{descriptors} descriptors, admin address: {admin_address:?}");
        assert_eq!(budget.max_connections(), clients.0 + upstream.0, "{case}");
        assert_eq!(full_and_halved(&budget.client_connections()), clients, "{case}");
        assert_eq!(full_and_halved(&budget.upstream_connections()), upstream, "{case}");
    }
}
