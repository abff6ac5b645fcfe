//! Empty library: the package needs one so that it can hold the benchmarks in `benches/`.
