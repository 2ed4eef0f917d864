//! Property tests of token buckets and limit splits.

use std::time::Duration;

use dandelionfront_coordination::limits::bucket::BucketLimits;
use dandelionfront_coordination::limits::shares::PARTS_PER_LIMIT;
use dandelionfront_coordination::limits::{Bucket, LimitRow};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_203;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// In every window at most burst + rate × length tokens are taken, whatever `covered_until` is.
    #[test]
    fn no_window_exceeds_burst_and_rate(
        rate_per_s in 0.1_f64..50.0,
        burst in 1_u32..40,
        steps in prop::collection::vec((0_u64..400, 0_u64..800), 1..200),
    ) {
        let limits = BucketLimits { rate_per_s, burst: f64::from(burst) };
        let mut bucket = Bucket::filled(Duration::ZERO);
        let (mut now, mut covered) = (Duration::ZERO, Duration::ZERO);
        let mut taken: Vec<f64> = Vec::new();
        for (pause_ms, cover_ms) in steps {
            now += Duration::from_millis(pause_ms);
            covered = covered.max(now + Duration::from_millis(cover_ms / 2));
            if bucket.take(limits, now, covered).is_ok() {
                prop_assert!(now < covered);
                taken.push(now.as_secs_f64());
            }
        }
        for first in 0..taken.len() {
            for last in first..taken.len() {
                let count = f64::from(u32::try_from(last - first + 1).expect("few takes"));
                let allowed = f64::from(burst) + rate_per_s * (taken[last] - taken[first]);
                prop_assert!(count <= allowed + 1e-6, "{count} takes, {allowed} allowed");
            }
        }
    }

    /// Transfers never increase the sum of the shares, and only nodes of the initial split hold
    /// shares that are marked as original.
    #[test]
    fn transfers_never_increase_the_total(
        holders in 1_usize..6,
        moves in prop::collection::vec((0_usize..8, 0_usize..8), 0..40),
    ) {
        let name = |index: usize| format!("node-{index}");
        let names: Vec<String> = (0..holders).map(name).collect();
        let mut row = LimitRow::split(&names);
        prop_assert_eq!(row.total_parts(), PARTS_PER_LIMIT);
        for (from, to) in moves {
            let before = row.total_parts();
            row.transfer(&name(from), &name(to));
            prop_assert!(row.total_parts() <= before);
            for share in &row.shares {
                prop_assert!(!share.original || names.contains(&share.holder));
            }
        }
    }
}
