//! What the tests with processes share.

use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_entry::platform::{Http, accept};
use coltsfootshunt_testkit::Cluster;
use uuid::Uuid;

/// The cluster's configuration with its targets spread over `zones`.
pub fn plan(cluster: &Cluster, zones: &[&str]) -> Config {
    let draft: Draft =
        serde_json::from_value(cluster.configuration(zones)).expect("the form is right");
    draft.try_into().expect("the configuration is right")
}

/// Puts that configuration in force.
pub async fn put_in_force(cluster: &Cluster, zones: &[&str]) {
    let platform = Http::new(cluster.platform.address);
    accept(&platform, plan(cluster, zones), None, Uuid::new_v4())
        .await
        .expect("the platform is up");
}
