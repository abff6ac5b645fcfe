//! Encodes the messages between nodes into the structures of the schema, and decodes them.

use {
    crate::{
        Digest, Evacuations, ListName, ListPiece, ListPieceRequest, PeerError,
        copy_codec::{decode_copy_target, decode_run_copy, encode_run_copy},
        crash_codec::{decode_evidence, encode_evidence, encode_keys},
        notice_codec::{decode_notices, encode_notices},
        peer_capnp::{
            self, account_spending, ask, digest, ended, list_piece, list_piece_ask, running_run,
            spending_report, upstream_load, verdict,
        },
        stream_codec::{decode_stream_try, encode_stream_try},
        to_us,
    },
    dragonflystep_dispatch::{
        AccountUsage, ActiveRun, Grant, PromptSegment, Refusal, RefusalReason, RunOutcome,
        RunReport, SlotDecision, SlotRequest, UpstreamLoad, UsageReport, UsageSlice, WorkSize,
    },
    std::{sync::Arc, time::Duration},
};

pub(crate) fn encode_slot_request(request: &SlotRequest, mut out: ask::Builder<'_>) {
    out.set_run(request.run);
    out.set_service(&*request.service);
    out.set_route(&*request.route);
    out.set_account(request.account.as_deref().unwrap_or(""));
    out.set_quota_units(request.quota_units);
    out.set_tier(request.tier);
    out.set_objective_left_us(to_us(request.objective_left));
    out.set_time_left_us(to_us(request.time_left));
    out.set_longest_pause_us(request.longest_pause.map_or(0, to_us));
    out.set_prompt_tokens(request.size.prompt_tokens);
    out.set_output_tokens(request.size.output_tokens);
    let mut segments = out
        .reborrow()
        .init_parts(request.size.segments.len() as u32);
    for (index, segment) in request.size.segments.iter().enumerate() {
        let mut entry = segments.reborrow().get(index as u32);
        entry.set_id(segment.id);
        entry.set_tokens(segment.tokens);
    }
    out.set_attempt(request.previous_attempts);
    let excluded = &request.excluded_upstreams;
    encode_text_list(excluded, out.reborrow().init_avoid(excluded.len() as u32));
    out.set_fingerprint(request.fingerprint);
    let content = &request.shared_content;
    encode_keys(
        content,
        out.reborrow().init_shared_content(content.len() as u32),
    );
    out.set_data_centre(&*request.data_centre);
    if let Some(allowed) = &request.allowed_data_centres {
        out.set_is_restricted(true);
        let names = out
            .reborrow()
            .init_allowed_data_centres(allowed.len() as u32);
        encode_text_list(allowed, names);
    }
    if let Some(stream) = &request.stream {
        encode_stream_try(stream, out.reborrow());
    }
    if let Some(copy) = &request.copy {
        encode_run_copy(copy, out);
    }
}

fn encode_text_list(texts: &[Arc<str>], mut out: capnp::text_list::Builder<'_>) {
    for (index, text) in texts.iter().enumerate() {
        out.set(index as u32, &**text);
    }
}

pub(crate) fn decode_slot_request(input: ask::Reader<'_>) -> Result<SlotRequest, PeerError> {
    let account = input.get_account()?.to_str()?;
    let longest_pause_us = input.get_longest_pause_us();
    let segments = input.get_parts()?.iter().map(|part| PromptSegment {
        id: part.get_id(),
        tokens: part.get_tokens(),
    });
    Ok(SlotRequest {
        run: input.get_run(),
        service: input.get_service()?.to_str()?.into(),
        route: input.get_route()?.to_str()?.into(),
        account: (!account.is_empty()).then(|| account.into()),
        quota_units: input.get_quota_units(),
        tier: input.get_tier(),
        objective_left: Duration::from_micros(input.get_objective_left_us()),
        time_left: Duration::from_micros(input.get_time_left_us()),
        longest_pause: (longest_pause_us > 0).then(|| Duration::from_micros(longest_pause_us)),
        size: WorkSize {
            prompt_tokens: input.get_prompt_tokens(),
            output_tokens: input.get_output_tokens(),
            segments: segments.collect(),
        },
        previous_attempts: input.get_attempt(),
        excluded_upstreams: decode_text_list(input.get_avoid()?)?,
        fingerprint: input.get_fingerprint(),
        shared_content: input.get_shared_content()?.iter().collect(),
        data_centre: input.get_data_centre()?.to_str()?.into(),
        allowed_data_centres: if input.get_is_restricted() {
            Some(decode_text_list(input.get_allowed_data_centres()?)?)
        } else {
            None
        },
        stream: decode_stream_try(input)?,
        copy: decode_run_copy(input)?,
    })
}

fn decode_text_list(list: capnp::text_list::Reader<'_>) -> Result<Vec<Arc<str>>, PeerError> {
    let mut texts = Vec::new();
    for text in list.iter() {
        texts.push(text?.to_str()?.into());
    }
    Ok(texts)
}

pub(crate) fn encode_slot_decision(decision: &SlotDecision, out: verdict::Builder<'_>) {
    match decision {
        SlotDecision::Granted(grant) => {
            let mut granted = out.init_granted();
            granted.set_upstream(&*grant.upstream);
            granted.set_address(&*grant.address);
            granted.set_version(&*grant.version);
            granted.set_reports_begin(grant.reports_begin);
            if let Some(copy) = &grant.copy {
                granted.set_copy_upstream(&*copy.upstream);
                granted.set_copy_address(&*copy.address);
            }
        }
        SlotDecision::Refused(refusal) => {
            let mut refused = out.init_refused();
            refused.set_reason(encode_reason(refusal.reason));
            refused.set_retry_after_us(to_us(refusal.retry_after));
        }
    }
}

pub(crate) fn decode_slot_decision(input: verdict::Reader<'_>) -> Result<SlotDecision, PeerError> {
    Ok(match input.which()? {
        verdict::Which::Granted(granted) => SlotDecision::Granted(Grant {
            upstream: granted.get_upstream()?.to_str()?.into(),
            address: granted.get_address()?.to_str()?.to_owned(),
            version: granted.get_version()?.to_str()?.into(),
            reports_begin: granted.get_reports_begin(),
            copy: decode_copy_target(
                granted.get_copy_upstream()?.to_str()?,
                granted.get_copy_address()?.to_str()?,
            ),
        }),
        verdict::Which::Refused(refused) => SlotDecision::Refused(Refusal {
            reason: decode_reason(refused.get_reason()?),
            retry_after: Duration::from_micros(refused.get_retry_after_us()),
        }),
    })
}

fn encode_reason(reason: RefusalReason) -> peer_capnp::RefusalReason {
    match reason {
        RefusalReason::Overloaded => peer_capnp::RefusalReason::Overloaded,
        RefusalReason::QuotaExceeded => peer_capnp::RefusalReason::QuotaExceeded,
        RefusalReason::RetryBudgetSpent => peer_capnp::RefusalReason::RetryBudgetSpent,
        RefusalReason::NoUpstream => peer_capnp::RefusalReason::NoUpstream,
        RefusalReason::CrashSuspect => peer_capnp::RefusalReason::CrashSuspect,
        RefusalReason::StreamVersionUnknown => peer_capnp::RefusalReason::StreamVersionUnknown,
    }
}

fn decode_reason(reason: peer_capnp::RefusalReason) -> RefusalReason {
    match reason {
        peer_capnp::RefusalReason::Overloaded => RefusalReason::Overloaded,
        peer_capnp::RefusalReason::QuotaExceeded => RefusalReason::QuotaExceeded,
        peer_capnp::RefusalReason::RetryBudgetSpent => RefusalReason::RetryBudgetSpent,
        peer_capnp::RefusalReason::NoUpstream => RefusalReason::NoUpstream,
        peer_capnp::RefusalReason::CrashSuspect => RefusalReason::CrashSuspect,
        peer_capnp::RefusalReason::StreamVersionUnknown => RefusalReason::StreamVersionUnknown,
    }
}

pub(crate) fn encode_run_report(report: &RunReport, mut out: ended::Builder<'_>) {
    out.set_run(report.run);
    out.set_service(&*report.service);
    out.set_outcome(encode_outcome(report.outcome));
    out.set_has_first_event(report.to_first_event.is_some());
    out.set_to_first_event_us(report.to_first_event.map_or(0, to_us));
    out.set_to_end_us(to_us(report.to_end));
    out.set_events(report.events);
}

pub(crate) fn decode_run_report(input: ended::Reader<'_>) -> Result<RunReport, PeerError> {
    let to_first_event = Duration::from_micros(input.get_to_first_event_us());
    Ok(RunReport {
        run: input.get_run(),
        service: input.get_service()?.to_str()?.into(),
        outcome: decode_outcome(input.get_outcome()?),
        to_first_event: input.get_has_first_event().then_some(to_first_event),
        to_end: Duration::from_micros(input.get_to_end_us()),
        events: input.get_events(),
    })
}

fn encode_outcome(outcome: RunOutcome) -> peer_capnp::RunOutcome {
    match outcome {
        RunOutcome::Completed => peer_capnp::RunOutcome::Completed,
        RunOutcome::Failed => peer_capnp::RunOutcome::Failed,
        RunOutcome::Rejected => peer_capnp::RunOutcome::Rejected,
        RunOutcome::Misdirected => peer_capnp::RunOutcome::Misdirected,
        RunOutcome::Unreachable => peer_capnp::RunOutcome::Unreachable,
        RunOutcome::Broken => peer_capnp::RunOutcome::Broken,
        RunOutcome::Cancelled => peer_capnp::RunOutcome::Cancelled,
        RunOutcome::Withheld => peer_capnp::RunOutcome::Withheld,
    }
}

fn decode_outcome(outcome: peer_capnp::RunOutcome) -> RunOutcome {
    match outcome {
        peer_capnp::RunOutcome::Completed => RunOutcome::Completed,
        peer_capnp::RunOutcome::Failed => RunOutcome::Failed,
        peer_capnp::RunOutcome::Rejected => RunOutcome::Rejected,
        peer_capnp::RunOutcome::Misdirected => RunOutcome::Misdirected,
        peer_capnp::RunOutcome::Unreachable => RunOutcome::Unreachable,
        peer_capnp::RunOutcome::Broken => RunOutcome::Broken,
        peer_capnp::RunOutcome::Cancelled => RunOutcome::Cancelled,
        peer_capnp::RunOutcome::Withheld => RunOutcome::Withheld,
    }
}

pub(crate) fn encode_active_run(run: &ActiveRun, mut out: running_run::Builder<'_>) {
    encode_slot_request(&run.request, out.reborrow().init_ask());
    out.set_upstream(&*run.upstream);
    out.set_running_for_us(to_us(run.running_for));
}

pub(crate) fn decode_active_run(input: running_run::Reader<'_>) -> Result<ActiveRun, PeerError> {
    Ok(ActiveRun {
        request: decode_slot_request(input.get_ask()?)?,
        upstream: input.get_upstream()?.to_str()?.into(),
        running_for: Duration::from_micros(input.get_running_for_us()),
    })
}

pub(crate) fn encode_load(load: &UpstreamLoad, mut out: upstream_load::Builder<'_>) {
    out.set_service(&*load.service);
    out.set_upstream(&*load.upstream);
    out.set_running(load.running);
    out.set_waiting(load.waiting);
}

pub(crate) fn decode_load(input: upstream_load::Reader<'_>) -> Result<UpstreamLoad, PeerError> {
    Ok(UpstreamLoad {
        service: input.get_service()?.to_str()?.into(),
        upstream: input.get_upstream()?.to_str()?.into(),
        running: input.get_running(),
        waiting: input.get_waiting(),
    })
}

pub(crate) fn encode_usage(report: &UsageReport, mut out: spending_report::Builder<'_>) {
    out.set_node(&*report.node);
    out.set_covers_us(to_us(report.coverage));
    let mut accounts = out.init_accounts(report.accounts.len() as u32);
    for (index, usage) in report.accounts.iter().enumerate() {
        encode_account(usage, accounts.reborrow().get(index as u32));
    }
}

fn encode_account(usage: &AccountUsage, mut out: account_spending::Builder<'_>) {
    out.set_account(&*usage.account);
    let mut slices = out.init_slices(usage.slices.len() as u32);
    for (index, slice) in usage.slices.iter().enumerate() {
        let mut entry = slices.reborrow().get(index as u32);
        entry.set_age_us(to_us(slice.age));
        entry.set_units(slice.units);
        entry.set_units_granted_by_receiver(slice.units_granted_by_receiver);
    }
}

pub(crate) fn decode_usage(input: spending_report::Reader<'_>) -> Result<UsageReport, PeerError> {
    let accounts = input.get_accounts()?.iter().map(decode_account);
    Ok(UsageReport {
        node: input.get_node()?.to_str()?.into(),
        coverage: Duration::from_micros(input.get_covers_us()),
        accounts: accounts.collect::<Result<_, _>>()?,
    })
}

fn decode_account(input: account_spending::Reader<'_>) -> Result<AccountUsage, PeerError> {
    let slices = input.get_slices()?.iter().map(|slice| UsageSlice {
        age: Duration::from_micros(slice.get_age_us()),
        units: slice.get_units(),
        units_granted_by_receiver: slice.get_units_granted_by_receiver(),
    });
    Ok(AccountUsage {
        account: input.get_account()?.to_str()?.into(),
        slices: slices.collect(),
    })
}

pub(crate) fn encode_list_piece_request(
    request: ListPieceRequest,
    mut out: list_piece_ask::Builder<'_>,
) {
    out.set_list(match request.list {
        ListName::Catalogue => peer_capnp::ListName::Catalogue,
        ListName::Registry => peer_capnp::ListName::Registry,
        ListName::Members => peer_capnp::ListName::Members,
    });
    out.set_version(request.version);
    out.set_leads_to(request.target_version);
    out.set_offset(request.offset_bytes);
}

pub(crate) fn decode_list_piece_request(
    input: list_piece_ask::Reader<'_>,
) -> Result<ListPieceRequest, PeerError> {
    Ok(ListPieceRequest {
        list: match input.get_list()? {
            peer_capnp::ListName::Catalogue => ListName::Catalogue,
            peer_capnp::ListName::Registry => ListName::Registry,
            peer_capnp::ListName::Members => ListName::Members,
        },
        version: input.get_version(),
        target_version: input.get_leads_to(),
        offset_bytes: input.get_offset(),
    })
}

pub(crate) fn encode_list_piece(piece: &ListPiece, mut out: list_piece::Builder<'_>) {
    out.set_leads_to(piece.target_version);
    out.set_total_bytes(piece.total_bytes);
    out.set_bytes(&piece.bytes);
}

pub(crate) fn decode_list_piece(input: list_piece::Reader<'_>) -> Result<ListPiece, PeerError> {
    Ok(ListPiece {
        target_version: input.get_leads_to(),
        total_bytes: input.get_total_bytes(),
        bytes: input.get_bytes()?.to_vec(),
    })
}

pub(crate) fn encode_digest(digest: &Digest, mut out: digest::Builder<'_>) {
    out.set_node(&*digest.node);
    out.set_catalogue_version(digest.catalogue_version);
    out.set_registry_version(digest.registry_version);
    out.set_registry(&digest.registry);
    let unavailable = &digest.unavailable;
    encode_text_list(
        unavailable,
        out.reborrow().init_unavailable(unavailable.len() as u32),
    );
    out.set_catalogue(&digest.catalogue);
    if let Some(evacuations) = &digest.evacuations {
        let mut entry = out.reborrow().init_evacuations();
        entry.set_version(evacuations.version);
        let names = &evacuations.data_centres;
        encode_text_list(names, entry.init_data_centres(names.len() as u32));
    }
    out.set_is_leaving(digest.is_leaving);
    out.set_platform_heard_us(to_us(digest.platform_silence));
    out.set_platform_up_ms(u32::try_from(digest.platform_up_for.as_millis()).unwrap_or(u32::MAX));
    out.set_members_version(digest.members_version);
    out.set_members(&digest.members);
    out.set_rollouts(&digest.rollouts);
    let notices = out.reborrow().init_notices(digest.notices.len() as u32);
    encode_notices(&digest.notices, notices);
    out.set_crashes_version(digest.crashes_version);
    if !digest.crashes.is_empty() {
        encode_evidence(&digest.crashes, out.init_crashes());
    }
}

pub(crate) fn decode_digest(input: digest::Reader<'_>) -> Result<Digest, PeerError> {
    Ok(Digest {
        node: input.get_node()?.to_str()?.into(),
        catalogue_version: input.get_catalogue_version(),
        catalogue: input.get_catalogue()?.to_vec(),
        evacuations: if input.has_evacuations() {
            let evacuations = input.get_evacuations()?;
            Some(Evacuations {
                version: evacuations.get_version(),
                data_centres: decode_text_list(evacuations.get_data_centres()?)?,
            })
        } else {
            None
        },
        registry_version: input.get_registry_version(),
        registry: input.get_registry()?.to_vec(),
        unavailable: decode_text_list(input.get_unavailable()?)?,
        is_leaving: input.get_is_leaving(),
        platform_silence: Duration::from_micros(input.get_platform_heard_us()),
        platform_up_for: Duration::from_millis(input.get_platform_up_ms().into()),
        members_version: input.get_members_version(),
        members: input.get_members()?.to_vec(),
        rollouts: input.get_rollouts()?.to_vec(),
        notices: decode_notices(input.get_notices()?)?,
        crashes: decode_evidence(input.get_crashes()?)?,
        crashes_version: input.get_crashes_version(),
    })
}
