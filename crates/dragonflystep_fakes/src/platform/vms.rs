//! The VM list that lags, as a pure model.

use {
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Names of VMs by state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmNames {
    /// VMs that run.
    #[serde(default)]
    pub live: Vec<Arc<str>>,
    /// VMs that run and will go.
    #[serde(default)]
    pub leaving: Vec<Arc<str>>,
}

/// A list whose changes show only after a delay.
#[derive(Clone, Debug, Default)]
pub struct VmListModel {
    shown: VmNames,
    coming: VecDeque<(Duration, VmNames)>,
    lag: Duration,
}

impl VmListModel {
    /// Sets how long later changes take to show.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Changes the list at `now`; readers see it `lag` later.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_fakes::platform::{VmListModel, VmNames};
    /// use std::time::Duration;
    /// let mut list = VmListModel::default();
    /// list.set_lag(Duration::from_secs(10));
    /// let names = VmNames { live: vec!["vm-1".into()], leaving: Vec::new() };
    /// list.change(Duration::ZERO, names.clone());
    /// assert_eq!(list.read(Duration::from_secs(9)), VmNames::default());
    /// assert_eq!(list.read(Duration::from_secs(10)), names);
    /// ```
    pub fn change(&mut self, now: Duration, names: VmNames) {
        self.coming.push_back((now + self.lag, names));
    }

    /// The list as readers see it at `now`.
    pub fn read(&mut self, now: Duration) -> VmNames {
        while self.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, names)) = self.coming.pop_front() {
                self.shown = names;
            }
        }
        self.shown.clone()
    }
}
