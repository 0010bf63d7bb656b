//! The daemon: caller API, operator API, and the wiring of decision modules to adapters.
