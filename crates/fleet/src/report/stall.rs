//! How far the traffic thread is behind: how late its timers fire.

use std::sync::Arc;
use std::time::Duration;

use metrics::histogram;
use tokio::time::Instant;

use super::{Log, Record};

/// Interval between the timers.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest delay below which no line is written.
const MIN_REPORTED_DELAY: Duration = Duration::from_millis(20);

/// Logs the delays of the current runtime periodically. Ends with the runtime.
pub async fn report_stalls(log: Arc<dyn Log>) {
    loop {
        let since = Instant::now();
        let (mut total, mut longest, mut probes) = (Duration::ZERO, Duration::ZERO, 0);
        while since.elapsed() < REPORT_INTERVAL {
            let due = Instant::now() + PROBE_INTERVAL;
            tokio::time::sleep_until(due).await;
            let delay = due.elapsed();
            total += delay;
            longest = longest.max(delay);
            probes += 1;
        }
        histogram!("coltsfootshunt_traffic_delay_seconds").record(longest.as_secs_f64());
        if longest >= MIN_REPORTED_DELAY {
            let (mean, period) = (total / probes, since.elapsed());
            log.record(&Record::TrafficBehind { mean, longest, period });
        }
    }
}
