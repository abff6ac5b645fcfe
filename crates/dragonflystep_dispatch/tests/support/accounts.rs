//! An account with a quota in tokens.

use {
    super::catalogue,
    dragonflystep_dispatch::{Account, AccountQuota, Catalogue, QuotaUnit},
};

/// The usual catalogue with one account, `mill`.
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
    };
    Catalogue {
        accounts: vec![account],
        ..catalogue(5)
    }
}
