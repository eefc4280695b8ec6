// Package tuning holds every constant of the service that a choice was made for, each with
// its unit and the reason for its value. Nothing here repeats a figure of one deployment;
// those come with the settings file.
//
// "Large deployment" means more than LargeFleetMachines machines or LargeBacklogTasks
// waiting tasks.
package tuning
