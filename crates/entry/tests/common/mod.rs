//! Helpers for tests with entries as separate processes.

use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_entry::platform::{Http, accept};
use coltsfootshunt_testkit::Cluster;
use uuid::Uuid;

/// Builds the cluster's configuration with its targets spread over `zones`.
pub fn config(cluster: &Cluster, zones: &[&str]) -> Config {
    let draft: Draft = serde_json::from_value(cluster.configuration(zones))
        .expect("the configuration has the expected form");
    draft.try_into().expect("the configuration is valid")
}

/// Puts the configuration of [`config`] in force as the first one.
pub async fn put_in_force(cluster: &Cluster, zones: &[&str]) {
    let platform = Http::new(cluster.platform.address);
    accept(&platform, config(cluster, zones), None, Uuid::new_v4())
        .await
        .expect("the platform is up");
}
