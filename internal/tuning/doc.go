// Package tuning holds the constants of the service whose values were chosen, each with its
// unit and the reason for its value. It contains no figure that is specific to one deployment;
// those come from the settings file.
//
// A "large fleet" has more than LargeFleetMachines machines or LargeBacklogTasks waiting
// tasks.
package tuning
