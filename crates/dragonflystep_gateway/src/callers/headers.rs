//! The headers of a caller's request.

use {
    super::intake::IntakeError,
    dragonflystep_core::{
        catalogue::{Catalogue, ClientAccount, TierSettings},
        request::RequestKey,
    },
    salvo::http::{HeaderMap, header::AUTHORIZATION},
    std::{sync::Arc, time::Duration},
};

const TIER_HEADER: &str = "x-tier";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Longest `Idempotency-Key`.
const MAX_KEY_CHARACTERS: usize = 200;
/// Longest deadline that a caller may name.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// The key of an `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// The tier that the request belongs to.
pub(crate) fn tier<'a>(
    headers: &HeaderMap,
    catalogue: &'a Catalogue,
    account: &ClientAccount,
) -> Result<&'a TierSettings, IntakeError> {
    let Some(name) = text(headers, TIER_HEADER)? else {
        return least_urgent_tier(catalogue, account);
    };
    let Some(tier) = catalogue.tier(name) else {
        return Err(IntakeError::NotInCatalogue("there is no such tier"));
    };
    if !may_use(account, tier) {
        return Err(IntakeError::Unauthorized(
            "the account may not use the tier",
        ));
    }
    Ok(tier)
}

fn least_urgent_tier<'a>(
    catalogue: &'a Catalogue,
    account: &ClientAccount,
) -> Result<&'a TierSettings, IntakeError> {
    let tiers = catalogue.tiers.values().map(|entry| entry.item.as_ref());
    tiers
        .filter(|tier| may_use(account, tier))
        .max_by_key(|tier| tier.rank)
        .ok_or(IntakeError::NotInCatalogue("the account may use no tier"))
}

fn may_use(account: &ClientAccount, tier: &TierSettings) -> bool {
    account.tiers.is_empty() || account.tiers.contains(&tier.id)
}

/// Time left until the answer is of no more use.
pub(crate) fn deadline(headers: &HeaderMap, tier: &TierSettings) -> Result<Duration, IntakeError> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else {
        return Ok(tier.default_deadline());
    };
    let deadline = value.parse().map(Duration::from_millis);
    match deadline {
        Ok(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(deadline),
        _ => Err(IntakeError::BadRequest(
            "X-Deadline-Ms has to be a number from 1 to 86400000",
        )),
    }
}

/// Identity of the request, and whether it is idempotent.
pub(crate) fn identity(
    headers: &HeaderMap,
    account: &ClientAccount,
) -> Result<(Option<RequestKey>, bool), IntakeError> {
    let key = match text(headers, KEY_HEADER)? {
        Some(text) => Some(request_key(text, account)?),
        None => None,
    };
    let idempotent = match text(headers, IDEMPOTENT_HEADER)? {
        None => true,
        Some(value) if value.eq_ignore_ascii_case("true") => true,
        Some(value) if value.eq_ignore_ascii_case("false") => false,
        // A guess could run a request twice that must run once.
        Some(_) => {
            return Err(IntakeError::BadRequest(
                "X-Idempotent has to be true or false",
            ));
        }
    };
    if !idempotent && key.is_none() {
        return Err(IntakeError::BadRequest(
            "X-Idempotent: false needs an Idempotency-Key, by which a repeat is known",
        ));
    }
    Ok((key, idempotent))
}

fn request_key(text: &str, account: &ClientAccount) -> Result<RequestKey, IntakeError> {
    let length_fits = (1..=MAX_KEY_CHARACTERS).contains(&text.len());
    if !length_fits || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(IntakeError::BadRequest(
            "Idempotency-Key has to be 1 to 200 visible ASCII characters",
        ));
    }
    Ok(RequestKey {
        account: account.id.clone(),
        text: Arc::from(text),
    })
}

/// The one value of a header; a doubled header is refused, since its values may contradict.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, IntakeError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(IntakeError::BadRequest(
            "a header of the request is doubled",
        ));
    }
    let text = value
        .to_str()
        .map_err(|_| IntakeError::BadRequest("a header of the request is not ASCII"))?;
    Ok(Some(text))
}
