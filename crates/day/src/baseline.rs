//! Decisions that are not the module's, to measure it beside. They keep the rules that any edge proxy can keep by
//! itself (one launch, answers before the cut-off, the release, drains) and nothing else; they stay in this package.
