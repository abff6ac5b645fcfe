//! Speed of an upstream: learned from ended streams, starting from the rates of its class.

use {
    crate::{catalogue::ServiceKind, message::Finished},
    std::time::Duration,
};

/// Factor applied to the weight of older samples when a new one is added.
const DECAY: f64 = 0.95;
/// Weight of the class rates on a new upstream, in samples.
const PRIOR_WEIGHT: f64 = 3.0;
/// Number of samples after which an estimate may be the reason to refuse a request.
const MIN_TRUSTED_SAMPLES: u32 = 5;
/// Initial estimate of the time to the first token of an empty prompt.
const INITIAL_BASE_SECONDS: f64 = 0.02;
/// Initial estimate of the prefill time per prompt token.
const INITIAL_PER_TOKEN_SECONDS: f64 = 0.000_2;
/// Initial estimate of the time between tokens.
const INITIAL_GAP_SECONDS: f64 = 0.03;
/// Initial estimate of the mean answer length, as a share of the longest answer.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;

/// Weighted linear regression over exponentially decayed samples.
#[derive(Clone, Copy, Debug, Default)]
struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight = self.weight * DECAY + weight;
        self.x = self.x * DECAY + weight * x;
        self.y = self.y * DECAY + weight * y;
        self.xx = self.xx * DECAY + weight * x * x;
        self.xy = self.xy * DECAY + weight * x * y;
    }

    fn slope(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread <= f64::EPSILON * self.xx.max(1.0) {
            return if self.x > 0.0 { self.y / self.x } else { 0.0 };
        }
        ((self.weight * self.xy - self.x * self.y) / spread).max(0.0)
    }

    fn predict(&self, x: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let slope = self.slope();
        let base = ((self.y - slope * self.x) / self.weight).max(0.0);
        base + slope * x
    }

    fn blend(&mut self, other: &Self, part: f64) {
        self.x += part * (other.x - self.x);
        self.y += part * (other.y - self.y);
        self.xx += part * (other.xx - self.xx);
        self.xy += part * (other.xy - self.xy);
        self.weight += part * (other.weight - self.weight);
    }

    fn scaled_to(&self, weight: f64) -> Self {
        let factor = weight / self.weight.max(weight);
        Self {
            weight: self.weight * factor,
            x: self.x * factor,
            y: self.y * factor,
            xx: self.xx * factor,
            xy: self.xy * factor,
        }
    }
}

/// Predicted time of a request on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time until the first token.
    pub prefill_seconds: f64,
    /// Time from the first token to the end of the answer.
    pub decode_seconds: f64,
}

impl Estimate {
    /// Sum of prefill and decode time.
    pub fn total_seconds(&self) -> f64 {
        self.prefill_seconds + self.decode_seconds
    }
}

/// Learned speed of one upstream, or of one class of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    first_token: LinearFit,
    gap_seconds: f64,
    output_share: f64,
    samples: u32,
    own_samples: u32,
}

impl Default for Rates {
    fn default() -> Self {
        let mut first_token = LinearFit::default();
        first_token.add(0.0, INITIAL_BASE_SECONDS, 0.5);
        let thousand = INITIAL_BASE_SECONDS + 1000.0 * INITIAL_PER_TOKEN_SECONDS;
        first_token.add(1000.0, thousand, 0.5);
        Self {
            first_token,
            gap_seconds: INITIAL_GAP_SECONDS,
            output_share: INITIAL_OUTPUT_SHARE,
            samples: 0,
            own_samples: 0,
        }
    }
}

impl Rates {
    /// Initial rates of a new upstream, taken from those of its class with a reduced weight.
    pub fn from_class(class: &Self) -> Self {
        Self {
            first_token: class.first_token.scaled_to(PRIOR_WEIGHT),
            own_samples: 0,
            ..*class
        }
    }

    /// Whether enough samples of this upstream itself exist, so that it no longer follows its class.
    pub fn has_own_samples(&self) -> bool {
        self.own_samples >= MIN_TRUSTED_SAMPLES
    }

    /// Rates of the class, for an upstream with too few samples of its own; keeps the count of its own samples.
    pub fn following_class(&self, class: &Self) -> Self {
        Self {
            own_samples: self.own_samples,
            ..Self::from_class(class)
        }
    }

    /// Moves the rates by the share `part` towards those of the class, so that an upstream that was slow once and has
    /// had no work since is tried again.
    pub fn drift_towards(&mut self, class: &Self, part: f64) {
        self.gap_seconds += part * (class.gap_seconds - self.gap_seconds);
        let class_fit = class.first_token.scaled_to(self.first_token.weight);
        self.first_token.blend(&class_fit, part);
    }

    /// Learns from an ended stream. `computed_tokens` of its prompt were not cached, `output_tokens` is the longest
    /// answer it could have, and `is_completed` is false if it did not complete.
    pub fn learn(
        &mut self,
        kind: ServiceKind,
        finished: &Finished,
        computed_tokens: u32,
        output_tokens: u32,
        is_completed: bool,
    ) {
        let Some(first_token_after) = finished.first_token_after else {
            return;
        };
        self.samples = self.samples.saturating_add(1);
        self.own_samples = self.own_samples.saturating_add(1);
        let first_seconds = first_token_after.as_secs_f64();
        let streamed_seconds = finished.streamed_for.as_secs_f64();
        if kind == ServiceKind::Plain {
            let seconds = first_seconds + streamed_seconds;
            self.first_token
                .add(f64::from(computed_tokens), seconds, 1.0);
            return;
        }
        self.first_token
            .add(f64::from(computed_tokens), first_seconds, 1.0);
        if finished.tokens > 1 {
            let gap = streamed_seconds / f64::from(finished.tokens - 1);
            let weight = 0.3 * f64::from(finished.tokens.min(20)) / 20.0;
            self.gap_seconds += weight * (gap - self.gap_seconds);
        }
        if is_completed && output_tokens > 0 {
            let share = f64::from(finished.tokens) / f64::from(output_tokens);
            self.output_share += 0.1 * (share.min(1.0) - self.output_share);
        }
    }

    /// Predicts the time of a request, `computed` of whose prompt tokens are not cached.
    pub fn estimate(&self, kind: ServiceKind, computed: f64, output_tokens: u32) -> Estimate {
        let prefill_seconds = self.first_token.predict(computed);
        let decode_seconds = match kind {
            ServiceKind::Plain => 0.0,
            ServiceKind::Engine => f64::from(output_tokens) * self.output_share * self.gap_seconds,
        };
        Estimate {
            prefill_seconds,
            decode_seconds,
        }
    }

    /// Mean time between two tokens of a stream.
    pub fn gap(&self) -> Duration {
        Duration::from_secs_f64(self.gap_seconds.max(0.0))
    }

    /// Additional prefill time for a thousand more prompt tokens.
    pub fn prefill_per_thousand(&self) -> Duration {
        Duration::from_secs_f64(1000.0 * self.first_token.slope())
    }

    /// Whether there are enough samples, of the upstream or its class, to refuse a request because of an estimate.
    pub fn is_trusted(&self) -> bool {
        self.samples >= MIN_TRUSTED_SAMPLES
    }
}
