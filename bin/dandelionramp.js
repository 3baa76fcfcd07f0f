#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

await runProgram("dandelionramp", {
    strategy: "explicit",
    target: "./dist/commands/operator/index.js",
    identifier: "commands",
});
