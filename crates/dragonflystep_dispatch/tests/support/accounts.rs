//! A catalogue with an account whose quota is in tokens.

use {
    super::catalogue,
    dragonflystep_dispatch::{Account, AccountQuota, Catalogue, QuotaUnit},
};

/// Returns the default test catalogue with one account, `mill`, that has the given quota.
pub fn catalogue_with_quota(units_per_s: f64, burst_units: f64) -> Catalogue {
    let account = Account {
        name: "mill".into(),
        keys: vec!["key".to_owned()],
        tier: None,
        quota: Some(AccountQuota {
            unit: QuotaUnit::Tokens {
                plain_request_tokens: 200,
            },
            units_per_s,
            burst_units,
        }),
        allowed_regions: Vec::new(),
    };
    Catalogue {
        accounts: vec![account],
        ..catalogue(5)
    }
}
