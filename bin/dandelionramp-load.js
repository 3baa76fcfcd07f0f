#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

await runProgram("dandelionramp-load", { strategy: "single", target: "./dist/commands/load.js" });
