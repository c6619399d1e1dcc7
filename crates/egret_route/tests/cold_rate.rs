//! Extreme rates of cold backend servers.

use std::time::Duration;

use egret_route::ColdRateLimit;

const NOW: Duration = Duration::from_secs(24 * 3_600);

// Guards against a rate that is too low to be a duration and then counts as no limit, or overflows.
#[test]
fn very_low_rate_is_still_a_limit() {
    for per_s in [1e-9, 5.420_101_086_242_752e-20, 5.5e-20, 1e-300, f64::MIN_POSITIVE] {
        let spacing = ColdRateLimit::spacing(per_s, 300);
        assert!(spacing >= Duration::from_secs(3_600), "{per_s}: {spacing:?}");
        let mut limit = ColdRateLimit::default();
        limit.mark_cold(NOW * 2, 1.0, NOW);
        assert!(!limit.acquire(spacing, NOW), "{per_s}");
    }
    assert_eq!(ColdRateLimit::spacing(0.0, 300), Duration::ZERO, "no limit");
    assert_eq!(ColdRateLimit::spacing(f64::MAX, 300), Duration::ZERO);
}
