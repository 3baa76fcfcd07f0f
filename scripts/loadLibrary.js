// The load tool's functions, from the build.
export { seededRandom, systemClock } from "../dist/index.js";
export { runExperiment } from "../dist/load/experiment.js";
export { summarize } from "../dist/load/report.js";
export { bookOnce } from "../dist/load/booker.js";
