//! Versions of lists, as nodes compare them with one another.
//!
//! The load it answers: the platform's store returns from a copy some seconds old and begins a new era, in which it gives
//! numbers of transactions out again. A node that reads the copy knows less than one that read the store before, and both
//! tell their lists to other nodes.

/// Whether a list is all that is known as of its version.
const COMPLETE_BIT: u64 = 1;

/// Bits of the transaction's number, above [`COMPLETE_BIT`].
const TRANSACTION_BITS: u32 = 40;

/// Set if the list comes from a node that knows what was listed before the era began.
const RECALLS_BIT: u64 = 1 << (TRANSACTION_BITS + 1);

/// Lowest bit of the era.
const ERA_SHIFT: u32 = TRANSACTION_BITS + 2;

/// The moment as of which a list was read, and what its reader knows besides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// The store's era.
    pub era: u64,
    /// The store's newest transaction.
    pub transaction: u64,
    /// Whether the reader knows what was listed before the era began.
    pub recalls_earlier_era: bool,
    /// Whether entries that the store lacks may still return to it.
    pub awaits_entries: bool,
}

impl ListReading {
    /// The list's version: by era, then by whether its reader knows what was listed before, then by transaction.
    ///
    /// A list with entries that may still return counts as older than one of the same transaction without them.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_edge::ListReading;
    ///
    /// let before = ListReading { transaction: 900, ..ListReading::default() };
    /// let after = ListReading { era: 1, transaction: 850, ..ListReading::default() };
    /// assert!(after.version() > before.version());
    /// ```
    pub fn version(self) -> u64 {
        let recalls = u64::from(self.recalls_earlier_era) * RECALLS_BIT;
        let complete = u64::from(!self.awaits_entries) * COMPLETE_BIT;
        self.era << ERA_SHIFT | recalls | self.transaction << 1 | complete
    }
}

/// Whether the list in force, of version `known`, tells what was listed before `era` began, so that entries which a table
/// of that era lacks are to be kept. `read_in_era` is the era in which this node read the table before.
///
/// # Examples
/// ```
/// use dragonflystep_edge::{ListReading, is_older_copy};
///
/// let known = ListReading { transaction: 900, ..ListReading::default() }.version();
/// assert!(is_older_copy(known, 0, 1));
/// assert!(!is_older_copy(known, 0, 0));
/// ```
pub fn is_older_copy(known: u64, read_in_era: u64, era: u64) -> bool {
    let is_of_earlier_era = known > 0 && era_of(known) < era;
    is_of_earlier_era || read_in_era < era && recalls_before(known, era)
}

/// The number of an order that was written in a transaction of an era; comparable with [`era_of`].
pub fn order_number(era: u64, transaction: u64) -> u64 {
    era << ERA_SHIFT | transaction
}

/// Whether two numbers of orders with the same content are of one order: a store that returned from an older copy has it
/// under another number.
///
/// # Examples
/// ```
/// use dragonflystep_edge::{is_same_order, order_number};
///
/// assert!(is_same_order(order_number(1, 90), order_number(2, 70)));
/// assert!(!is_same_order(order_number(1, 90), order_number(1, 95)));
/// ```
pub fn is_same_order(number: u64, other: u64) -> bool {
    number == other || era_of(number) != era_of(other)
}

/// The era of the store in which a list of version `known` was read.
pub fn era_of(known: u64) -> u64 {
    known >> ERA_SHIFT
}

/// Whether a list of version `known` came from a node that knows what was listed before `era` began.
///
/// Nodes that have such a list take only lists of such nodes for newer; so what they read themselves counts as one.
pub fn recalls_before(known: u64, era: u64) -> bool {
    era_of(known) == era && known & RECALLS_BIT != 0
}

/// Whether a list of version `theirs` is to replace one of version `known`.
///
/// A list of a later era whose reader does not know what was listed before may lack entries that are still there.
pub(crate) fn supersedes(theirs: u64, known: u64) -> bool {
    let is_later_era = era_of(theirs) > era_of(known);
    theirs > known && (known == 0 || !is_later_era || theirs & RECALLS_BIT != 0)
}
